package console

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"masticturn/internal/edge"
	"masticturn/internal/kernel"
)

// Bounds of sessions.
const (
	maxSessions     = 64
	sessionLifetime = 8 * time.Hour
	sessionCookie   = "masticturn_session"
	fieldFormToken  = "form_token"
)

// session is one operator who has logged in at this daemon. Its draft is in
// this daemon's memory only.
type session struct {
	id        string
	formToken string
	expires   time.Time

	mu    sync.Mutex
	draft *draft // nil until the first edit
}

// ownForm reports whether a form was rendered for this session.
func (s *session) ownForm(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.formToken)) == 1
}

// sessions holds the sessions of a daemon.
type sessions struct {
	clock kernel.Clock

	mu   sync.Mutex
	byID map[string]*session
}

func newSessions(clock kernel.Clock) *sessions {
	return &sessions{clock: clock, byID: make(map[string]*session)}
}

// start makes a session and sets its cookie. When there are too many, the one
// that ends first goes.
func (all *sessions) start(w http.ResponseWriter, r *http.Request) {
	s := &session{id: rand.Text(), formToken: rand.Text(), expires: all.clock.Now().Add(sessionLifetime)}
	all.mu.Lock()
	defer all.mu.Unlock()
	all.expire()
	all.byID[s.id] = s
	http.SetCookie(w, &http.Cookie{
		Name: sessionCookie, Value: s.id, Path: edge.PathConsole, MaxAge: int(sessionLifetime.Seconds()),
		HttpOnly: true, Secure: r.TLS != nil, SameSite: http.SameSiteStrictMode,
	})
}

// expire removes the sessions that have ended, and at least one when there is
// no place left. The lock is held.
func (all *sessions) expire() {
	now := all.clock.Now()
	var oldest *session
	for id, s := range all.byID {
		if now.After(s.expires) {
			delete(all.byID, id)
			continue
		}
		if oldest == nil || s.expires.Before(oldest.expires) {
			oldest = s
		}
	}
	if len(all.byID) >= maxSessions {
		delete(all.byID, oldest.id)
	}
}

// find returns the session of a request, nil when there is none.
func (all *sessions) find(r *http.Request) *session {
	cookie, err := r.Cookie(sessionCookie)
	if err != nil {
		return nil
	}
	all.mu.Lock()
	defer all.mu.Unlock()
	s := all.byID[cookie.Value]
	if s == nil || all.clock.Now().After(s.expires) {
		return nil
	}
	return s
}

// end removes a session and its cookie.
func (all *sessions) end(w http.ResponseWriter, s *session) {
	all.mu.Lock()
	defer all.mu.Unlock()
	delete(all.byID, s.id)
	http.SetCookie(w, &http.Cookie{Name: sessionCookie, Path: edge.PathConsole, MaxAge: -1})
}
