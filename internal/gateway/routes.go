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

// currentRoutes returns the router for the configuration in force. It is rebuilt when the configuration has changed.
func (g *Gateway) currentRoutes() *routeTable {
	v := g.opts.Source.View()
	if t := g.routes.Load(); t != nil && t.general == v.General() {
		return t
	}
	t := g.newRouteTable(v)
	g.routes.Store(t)
	return t
}

func (g *Gateway) newRouteTable(v configsync.View) *routeTable {
	general := v.General()
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	r.Use(g.metrics.middleware)
	// mux runs no middleware for these two handlers, so they are wrapped explicitly.
	r.NotFoundHandler = g.metrics.middleware(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		rejectUnread(w, req, notRunError(http.StatusNotFound, "unknown_route", "there is no such route"))
	}))
	r.MethodNotAllowedHandler = g.metrics.middleware(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		rejectUnread(w, req, notRunError(http.StatusMethodNotAllowed, "method_not_allowed", "the route does not take this method"))
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

// unambiguousPath reports whether services are sure to read the path as the router does: no segment decodes to something that a
// service may resolve ("..") or split (an encoded slash).
func unambiguousPath(u *url.URL) bool {
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

// credentialNames are the names of query parameters that usually carry credentials.
var credentialNames = map[string]bool{
	"key": true, "api_key": true, "apikey": true, "api-key": true, "access_token": true, "token": true, "authorization": true,
}

// withoutCredentials removes from a query the parameters that contain a key of this system, whatever their name, and those with a name of
// credentialNames whose value is long enough for a credential.
func withoutCredentials(raw string) string {
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
		if strings.Contains(decoded, "dk_") || (credentialNames[strings.ToLower(name)] && len(decoded) >= minCredentialLength) {
			continue
		}
		kept = append(kept, escapeUnsafe(part))
	}
	return strings.Join(kept, "&")
}

// escapeUnsafe percent-encodes the bytes that are not allowed in a request line. Others stay as the caller sent them.
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

// minCredentialLength is the length in bytes from which the value of a parameter such as "token" is taken for a credential.
const minCredentialLength = 16

// requestTarget returns the path and query to send to a service.
func requestTarget(u *url.URL) string {
	if q := withoutCredentials(u.RawQuery); q != "" {
		return u.EscapedPath() + "?" + q
	}
	return u.EscapedPath()
}
