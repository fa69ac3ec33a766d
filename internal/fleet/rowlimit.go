package fleet

import (
	"cmp"
	"slices"
)

// RowLimit bounds the rows in the answer to a report: the platform takes no larger answer
// for an acknowledgement, and the server then holds none of its rows.
type RowLimit struct {
	// Size returns the size of a row in the answer in bytes; nil means that there is no
	// limit.
	Size func(Row) int
	// MaxBytes bounds the sum over all rows of an answer.
	MaxBytes int
}

// fit returns the rows that one answer can list, sorted by key. Rows that the server holds
// come first, so that none is taken from it. LeftOut are the rows that do not fit even once
// the server has reported all others, which then no longer carry a token.
func (l RowLimit) fit(held, others []Row) (listed, leftOut []Row) {
	size, sizeWithoutTokens := 0, 0
	for _, rows := range [][]Row{held, others} {
		for _, r := range rows {
			bare := r
			bare.Token = ""
			if sizeWithoutTokens += l.size(bare); sizeWithoutTokens > l.MaxBytes {
				leftOut = append(leftOut, r)
				continue
			}
			if n := l.size(r); size+n <= l.MaxBytes {
				size += n
				listed = append(listed, r)
			}
		}
	}
	byKey := func(a, b Row) int { return cmp.Compare(a.From, b.From) }
	slices.SortFunc(listed, byKey)
	slices.SortFunc(leftOut, byKey)
	return listed, leftOut
}

func (l RowLimit) size(r Row) int {
	if l.Size == nil {
		return 0
	}
	return l.Size(r)
}
