package bench

import (
	"net/http"

	"masticturn/internal/config"
	"masticturn/internal/standin/caller"
)

// Sizes of the requests and answers of a mix, in bytes.
const (
	smallAnswer = 2 << 10
	largeAnswer = 200 << 10
	commitBody  = 500
	shortAnswer = 200
	uploadBody  = 200 << 10
)

// uploadShape is the name of the shapes with a large body.
const uploadShape = "upload"

// Shares of a mix.
const (
	smallReads = 6.0
	largeReads = 1.0
	commits    = 2.0
	uploads    = 0.5
	archives   = 1.0
)

// Mix returns shapes of requests for all services and routes of a document:
// small and large reads, commits with keys, and uploads.
func Mix(snapshot *config.Snapshot) []caller.Shape {
	var shapes []caller.Shape
	for _, svc := range snapshot.Services() {
		for i := range svc.Routes {
			for _, method := range methodsOf(&svc.Routes[i]) {
				shapes = append(shapes, shapesOf(snapshot, svc, method)...)
			}
		}
	}
	return shapes
}

// methodsOf returns the methods to use a route with.
func methodsOf(r *config.Route) []string {
	if len(r.Methods) > 0 {
		return r.Methods[:1]
	}
	if r.Repeat == config.RepeatNever {
		return []string{http.MethodPost}
	}
	return []string{http.MethodGet}
}

func shapesOf(snapshot *config.Snapshot, svc *config.ServiceIndex, method string) []caller.Shape {
	path := svc.PathPrefix + "item"
	match, ok := snapshot.MatchRequest("", method, path)
	if !ok {
		return nil
	}
	shape := caller.Shape{
		Service:    svc.Name,
		Class:      match.Class.Name,
		Method:     method,
		Path:       path,
		Keyed:      match.Route.RequireKey,
		Repeatable: match.Repeatable,
	}
	if method == http.MethodGet {
		return reads(shape, match.Class.Priority == 0)
	}
	shape.AnswerBytes = shortAnswer
	if shape.Keyed {
		shape.Name, shape.Weight, shape.BodyBytes = "commit", commits, commitBody
	} else {
		shape.Name, shape.Weight, shape.BodyBytes = uploadShape, uploads, uploadBody
	}
	return []caller.Shape{shape}
}

func reads(shape caller.Shape, urgent bool) []caller.Shape {
	if !urgent {
		shape.Name, shape.Weight, shape.AnswerBytes = "archive", archives, smallAnswer
		return []caller.Shape{shape}
	}
	small, large := shape, shape
	small.Name, small.Weight, small.AnswerBytes = "read", smallReads, smallAnswer
	large.Name, large.Weight, large.AnswerBytes = "read-large", largeReads, largeAnswer
	return []caller.Shape{small, large}
}
