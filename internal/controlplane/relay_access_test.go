package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/controlplane/relaysession"
)

// A control plane whose file allows no relays rejects their requests with the reason.
func TestRelayRejectedWithoutRelaysSetting(t *testing.T) {
	set := settingsIn(t.TempDir())
	set.Relays = false
	b, _ := start(t, set)
	w := httptest.NewRecorder()
	b.withRelays(b.postRelayLease)(w, httptest.NewRequest(http.MethodPost, relaysession.Path, strings.NewReader(`{}`)))
	if w.Code != http.StatusForbidden || !strings.Contains(w.Body.String(), "(relays) is missing") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
