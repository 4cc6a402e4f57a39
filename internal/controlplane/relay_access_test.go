package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"stairvane.org/stairvane/internal/controlplane/relaysession"
)

// TestRelayRejectedWithoutRelaysSetting checks that a control plane without the relays setting rejects relay requests and states the
// reason.
func TestRelayRejectedWithoutRelaysSetting(t *testing.T) {
	set := settingsIn(t.TempDir())
	set.Relays = false
	s, _ := start(t, set)
	w := httptest.NewRecorder()
	s.requireRelays(s.postRelayLease)(w, httptest.NewRequest(http.MethodPost, relaysession.Path, strings.NewReader(`{}`)))
	if w.Code != http.StatusForbidden || !strings.Contains(w.Body.String(), "(relays) is missing") {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
