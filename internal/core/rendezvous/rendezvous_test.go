package rendezvous

import (
	"fmt"
	"slices"
	"testing"
)

// Guards against instances that choose different names because they have them in different orders, and against a removed name
// that moves more than its own keys.
func TestTop(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	reversed := slices.Clone(names)
	slices.Reverse(reversed)
	chosen := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint(i)
		first := First(key, names)
		chosen[first]++
		if other := First(key, reversed); other != first {
			t.Fatalf("key %s: %s and %s", key, first, other)
		}
		without := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == "a" })
		if first != "a" && First(key, without) != first {
			t.Errorf("key %s moves although its name stays", key)
		}
		if two := Top(key, names, 2); len(two) != 2 || two[0] != first || two[1] == first {
			t.Errorf("key %s: first two are %v", key, two)
		}
	}
	for _, name := range names {
		if chosen[name] < 140 || chosen[name] > 260 {
			t.Errorf("%s is chosen for %d of 1000 keys", name, chosen[name])
		}
	}
	if First("k", nil) != "" || len(Top("k", names, 9)) != len(names) {
		t.Error("fewer names than requested: First does not return an empty name or Top does not return all names")
	}
}
