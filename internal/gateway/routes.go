package gateway

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/gorilla/mux"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
)

// routeTable is the router for one revision of the configuration.
type routeTable struct {
	general *config.Config
	router  *mux.Router
}

// table returns the router of the view in force.
func (g *Gateway) table() *routeTable {
	v := g.opts.Source.View()
	if t := g.routes.Load(); t != nil && t.general == v.General() {
		return t
	}
	t := g.newTable(v)
	g.routes.Store(t)
	return t
}

func (g *Gateway) newTable(v configsync.View) *routeTable {
	general := v.General()
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Use(g.metrics.middleware)
	// The router runs no middleware for these two.
	r.NotFoundHandler = g.metrics.middleware(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		refuseUnread(w, req, refuse(http.StatusNotFound, "unknown_route", "there is no such route"))
	}))
	r.MethodNotAllowedHandler = g.metrics.middleware(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		refuseUnread(w, req, refuse(http.StatusMethodNotAllowed, "method_not_allowed", "the route does not take this method"))
	}))
	for kind, path := range modelPaths {
		r.HandleFunc(path, g.modelHandler(kind)).Methods(http.MethodPost)
	}
	r.HandleFunc("/v1/models", g.listModels).Methods(http.MethodGet)
	r.HandleFunc("/v1/models/{model}", g.getModel).Methods(http.MethodGet)
	r.HandleFunc("/v1/entries", g.listEntries).Methods(http.MethodGet)
	r.HandleFunc("/v1/operations", g.issueOperation).Methods(http.MethodPost)
	for i := range general.Routes {
		route := &general.Routes[i]
		r.HandleFunc(route.Path, g.serviceHandler(route)).Methods(route.Method)
	}
	return &routeTable{general: general, router: r}
}

// cleanPath reports whether every service reads the path as the router does: no segment that a service may resolve or split
// after decoding.
func cleanPath(u *url.URL) bool {
	for _, segment := range strings.Split(strings.TrimPrefix(u.EscapedPath(), "/"), "/") {
		decoded, err := url.PathUnescape(segment)
		if err != nil || decoded == "." || decoded == ".." || strings.ContainsAny(decoded, "/\\;") {
			return false
		}
		for _, c := range decoded {
			if c < ' ' || c == 0x7f {
				return false
			}
		}
	}
	return true
}

// credentialNames are the query parameters that carry keys. They are not passed on.
var credentialNames = map[string]bool{
	"key": true, "api_key": true, "apikey": true, "api-key": true, "access_token": true, "token": true, "authorization": true,
}

// withoutKeys drops the parameters of a query that hold a key of this system, whatever their name, and those that carry a
// credential by name and look like one.
func withoutKeys(raw string) string {
	if raw == "" {
		return ""
	}
	var kept []string
	for _, part := range strings.Split(raw, "&") {
		name, value, _ := strings.Cut(part, "=")
		decoded, err := url.QueryUnescape(value)
		if err != nil {
			decoded = value
		}
		if strings.Contains(decoded, "dk_") || (credentialNames[strings.ToLower(name)] && len(decoded) >= minCredential) {
			continue
		}
		kept = append(kept, escapeUnsafe(part))
	}
	return strings.Join(kept, "&")
}

// escapeUnsafe encodes the bytes that may not stand in a request line. Others stay as the caller wrote them.
func escapeUnsafe(part string) string {
	var out strings.Builder
	for i := range len(part) {
		if c := part[i]; c <= ' ' || c >= 0x7f {
			fmt.Fprintf(&out, "%%%02X", c)
			continue
		}
		out.WriteByte(part[i])
	}
	return out.String()
}

// minCredential is the length from which the value of a parameter such as "token" counts as a credential.
const minCredential = 16

// target is the path and query that a plain service gets.
func target(u *url.URL) string {
	if q := withoutKeys(u.RawQuery); q != "" {
		return u.EscapedPath() + "?" + q
	}
	return u.EscapedPath()
}
