package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/controlplane/relaysession"
)

// A relay that calls a control plane whose file lets none in is told so.
func TestRelaysAreRefusedWhereTheFileLetsNoneIn(t *testing.T) {
	set := settingsIn(t.TempDir())
	set.Relays = false
	b, _ := start(t, set)
	w := httptest.NewRecorder()
	b.withRelays(b.postRelayLease)(w, httptest.NewRequest(http.MethodPost, relaysession.Path, strings.NewReader(`{}`)))
	if w.Code != http.StatusForbidden || !strings.Contains(w.Body.String(), "(relays) is missing") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
