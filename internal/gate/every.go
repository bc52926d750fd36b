package gate

import (
	"context"
	"time"
)

// every calls the function at the interval until the context ends.
func every(ctx context.Context, interval time.Duration, call func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			call()
		}
	}
}
