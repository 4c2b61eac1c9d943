package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
)

// InstanceListClient is an InstanceList over HTTP. It is safe for concurrent use.
type InstanceListClient struct {
	*client
}

var _ InstanceList = (*InstanceListClient)(nil)

// NewInstanceListClient returns a client of the instance list at the URL of the options.
func NewInstanceListClient(o ClientOptions) (*InstanceListClient, error) {
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &InstanceListClient{client: c}, nil
}

// InstancesJSON is the response body of the instance list's protocol.
type InstancesJSON struct {
	Version   int64            `json:"version"`
	Instances []ListedInstance `json:"instances"`
}

// Instances implements InstanceList. Rows that another writer may have left name no instance, and hide no others.
func (l *InstanceListClient) Instances(ctx context.Context) ([]ListedInstance, int64, error) {
	in := call{method: http.MethodGet, path: "/v1/instances"}
	a, err := l.do(ctx, in)
	if err != nil {
		return nil, 0, err
	}
	var out struct {
		Version   int64             `json:"version"`
		Instances []json.RawMessage `json:"instances"`
	}
	a.body = withoutDeepValues(a.body)
	if err := decode(in, a, &out); err != nil {
		return nil, 0, err
	}
	rows := make([]ListedInstance, 0, len(out.Instances))
	for _, raw := range out.Instances {
		var row ListedInstance
		if json.Unmarshal(raw, &row) == nil && row.usable() {
			rows = append(rows, row)
		}
	}
	return rows, out.Version, nil
}

// usable reports whether the row names an instance that can be reached.
func (l *ListedInstance) usable() bool {
	if l.Name == "" {
		return false
	}
	for _, addr := range []string{l.CallerAddr, l.PeerAddr, l.OperatorAddr} {
		if l.Kind != KindEntry || addr == "" {
			continue
		}
		if parsed, err := netip.ParseAddrPort(addr); err != nil || parsed.Port() == 0 {
			return false
		}
	}
	return true
}

// maxNesting is the number of levels up to which values of a list are kept. Its rows have two levels.
const maxNesting = 16

// withoutDeepValues returns a JSON text with null in place of values that are nested too deeply: encoding/json rejects a whole text above
// 10,000 levels.
func withoutDeepValues(text []byte) []byte {
	out := make([]byte, 0, len(text))
	depth, inString, escaped := 0, false, false
	for _, c := range text {
		opens, closes := !inString && (c == '[' || c == '{'), !inString && (c == ']' || c == '}')
		if opens {
			if depth++; depth == maxNesting+1 {
				out = append(out, "null"...)
			}
		}
		if depth <= maxNesting {
			out = append(out, c)
		}
		if closes {
			depth--
		}
		inString = inString != (c == '"' && !escaped)
		escaped = inString && c == '\\' && !escaped
	}
	return out
}

// Announce implements InstanceList.
func (l *InstanceListClient) Announce(ctx context.Context, row ListedInstance) error {
	_, err := l.do(ctx, call{
		method: http.MethodPut,
		path:   "/v1/instances/" + url.PathEscape(row.Name),
		body:   row,
		write:  true,
	})
	return err
}

// DirectoryClient is a Directory over HTTP. It is safe for concurrent use.
type DirectoryClient struct {
	*client
}

var _ Directory = (*DirectoryClient)(nil)

// NewDirectoryClient returns a client of the directory at the URL of the options.
func NewDirectoryClient(o ClientOptions) (*DirectoryClient, error) {
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &DirectoryClient{client: c}, nil
}

// DirectoryJSON holds the entries of a region in the directory's protocol.
type DirectoryJSON struct {
	Entries []DirectoryEntry `json:"entries"`
}

func directoryPath(region string) string { return "/v1/directory/" + url.PathEscape(region) }

// Publish implements Directory.
func (d *DirectoryClient) Publish(ctx context.Context, region string, entries []DirectoryEntry) error {
	if entries == nil {
		entries = []DirectoryEntry{}
	}
	_, err := d.do(ctx, call{
		method: http.MethodPut,
		path:   directoryPath(region),
		body:   DirectoryJSON{Entries: entries},
		write:  true,
	})
	return err
}

// Lookup implements Directory.
func (d *DirectoryClient) Lookup(ctx context.Context, region string) ([]DirectoryEntry, error) {
	in := call{method: http.MethodGet, path: directoryPath(region)}
	a, err := d.do(ctx, in)
	if err != nil {
		return nil, err
	}
	var out DirectoryJSON
	if err := decode(in, a, &out); err != nil {
		return nil, err
	}
	return out.Entries, nil
}

// WeightStoreClient is a WeightStore over HTTP. It is safe for concurrent use.
type WeightStoreClient struct {
	*client
}

var _ WeightStore = (*WeightStoreClient)(nil)

// NewWeightStoreClient returns a client of the weight store at the URL of the options.
func NewWeightStoreClient(o ClientOptions) (*WeightStoreClient, error) {
	c, err := newClient(o)
	if err != nil {
		return nil, err
	}
	return &WeightStoreClient{client: c}, nil
}

// WeightsJSON is the response body of the weight store's protocol.
type WeightsJSON struct {
	Bytes int64 `json:"bytes"`
}

// Size implements WeightStore.
func (w *WeightStoreClient) Size(ctx context.Context, model, version string) (int64, error) {
	in := call{
		method: http.MethodGet,
		path:   "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version),
	}
	a, err := w.do(ctx, in)
	if err != nil {
		return 0, err
	}
	var out WeightsJSON
	if err := decode(in, a, &out); err != nil {
		return 0, err
	}
	return out.Bytes, nil
}
