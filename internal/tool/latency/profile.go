package latency

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"hyssopreach/internal/transport/router"
)

// startProfile starts to record a CPU profile of the router during the
// half-load comparison, in the background. The returned channel delivers the
// error, or nil, once the profile is complete.
func (m *measurement) startProfile(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	if m.options.Profile == "" {
		done <- nil
		return done
	}
	length := 2 * time.Duration(m.options.Rounds) * m.options.TurnLength
	// The profile is shorter than the comparison, so that it doesn't extend beyond
	// the load.
	url := fmt.Sprintf("http://%s%s?seconds=%d", m.fleet.Settings[0].OperatorAddress, router.PathProfile,
		max(1, int(length.Seconds())-1))
	go func() { done <- download(ctx, url, m.options.Profile) }()
	return done
}

// download writes the body of the response at the URL to a file.
func download(ctx context.Context, url, name string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("fetch profile: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	file, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("write profile: %w", err)
	}
	_, err = io.Copy(file, response.Body)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
