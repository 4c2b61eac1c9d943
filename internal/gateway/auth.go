package gateway

import (
	"net/http"
	"strings"
	"time"

	"dogwoodknot.example/dogwoodknot/internal/config"
	"dogwoodknot.example/dogwoodknot/internal/configsync"
	"dogwoodknot.example/dogwoodknot/internal/core/residency"
)

// staleViewRetry is the time after which a request may be repeated that needs a newer revision of the configuration than this
// instance has, for example because its key is new. A revision is in force on all instances within 7 s.
const staleViewRetry = 2 * time.Second

// presentedKey returns the key in the Authorization header, or an empty string.
func presentedKey(h http.Header) (string, *apiError) {
	values := h.Values("Authorization")
	switch len(values) {
	case 0:
		return "", nil
	case 1:
	default:
		return "", notRunError(http.StatusBadRequest, "invalid_header", "more than one Authorization header")
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return "", notRunError(http.StatusUnauthorized, "invalid_api_key", "the Authorization header holds no bearer key")
	}
	return strings.TrimSpace(key), nil
}

// secretOf returns the secret part of a key (its third part, after the second underscore), or the whole if it has another form.
func secretOf(key string) string {
	if parts := strings.SplitN(key, "_", 3); len(parts) == 3 && parts[2] != "" {
		return parts[2]
	}
	return key
}

// authenticate checks the caller's key against the configuration in force.
func authenticate(v configsync.View, h http.Header) (org *config.Organisation, id, secret string, err *apiError) {
	key, err := presentedKey(h)
	if err != nil {
		return nil, "", "", err
	}
	if key == "" {
		return nil, "", "", notRunError(http.StatusUnauthorized, "missing_api_key", "the request has no key")
	}
	org, id, status := v.Authenticate(key)
	switch status {
	case configsync.KeyValid:
		return org, id, secretOf(key), nil
	case configsync.KeyWithdrawn:
		return nil, "", "", notRunError(http.StatusUnauthorized, "key_withdrawn", "the key was withdrawn")
	case configsync.KeyNewer:
		return nil, "", "", notRunError(http.StatusServiceUnavailable, "key_not_yet_known",
			"the key is newer than this instance's configuration").after(staleViewRetry)
	}
	return nil, "", "", notRunError(http.StatusUnauthorized, "invalid_api_key", "the key is not known")
}

// checkResidency checks that the organisation's request may be served in this region. The error names entries of the organisation's
// home region.
func (g *Gateway) checkResidency(org *config.Organisation, homeBound bool) (residency.Decision, *apiError) {
	r := residency.Request{LocalRegion: g.opts.Region, HomeBoundService: homeBound}
	name := ""
	if org != nil {
		r.HomeRegion, name = org.Home, org.Name
	}
	d := residency.Decide(r)
	if d.MayServe {
		return d, nil
	}
	err := notRunError(http.StatusMisdirectedRequest, "wrong_region",
		"the organisation's data stays in region "+d.RedirectRegion+"; use one of its entries")
	if g.opts.Entries != nil {
		err.Entries, _ = g.opts.Entries.Entries(name, d.RedirectRegion)
	}
	return d, err
}
