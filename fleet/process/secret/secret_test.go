package secret_test

import (
	"fmt"
	"testing"

	"jacinthpaddle.example/fleet/process/secret"
)

func TestVerify(t *testing.T) {
	key := secret.Key("the secret of the fleet")
	signature := key.Sign("ticket", []byte("ab"), []byte("c"))
	tests := []struct {
		name    string
		key     secret.Key
		purpose string
		parts   [][]byte
		want    bool
	}{
		{"same", key, "ticket", [][]byte{[]byte("ab"), []byte("c")}, true},
		{"other key", secret.Key("guess"), "ticket", [][]byte{[]byte("ab"), []byte("c")}, false},
		{"other purpose", key, "link", [][]byte{[]byte("ab"), []byte("c")}, false},
		{"moved boundary", key, "ticket", [][]byte{[]byte("a"), []byte("bc")}, false},
		{"joined parts", key, "ticket", [][]byte{[]byte("abc")}, false},
	}
	for _, test := range tests {
		if got := test.key.Verify(signature, test.purpose, test.parts...); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
	if got := fmt.Sprint(key); got != "secret" {
		t.Errorf("printed: got %s, want secret", got)
	}
}
