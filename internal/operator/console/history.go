package console

import (
	"context"

	"masticturn/internal/config"
	"masticturn/internal/config/repository"
)

// StoredHistory is the History of a repository.
type StoredHistory struct {
	Repository *repository.Repository
}

var _ History = StoredHistory{}

// Head returns the accepted generations.
func (h StoredHistory) Head(ctx context.Context) (*repository.Head, error) {
	head, _, err := h.Repository.Head(ctx)
	return head, err
}

// Document returns the document of a generation.
func (h StoredHistory) Document(ctx context.Context, gen config.Generation) (*config.Document, error) {
	packed, err := h.Repository.Generation(ctx, gen)
	if err != nil {
		return nil, err
	}
	return packed.Document()
}
