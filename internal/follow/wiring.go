package follow

import (
	"context"

	"go.uber.org/fx"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/kernel"
)

// Provide returns the options that make a provided follower the node's rollout
// and start it with the node.
func Provide[F interface {
	vanillabarrow.Rollout
	vanillabarrow.PlatformConnectivity
	Start() error
}]() fx.Option {
	return fx.Options(
		fx.Provide(func(f F) (vanillabarrow.Configuration, vanillabarrow.Rollout, vanillabarrow.PlatformConnectivity) {
			return f, f, f
		}),
		fx.Invoke(func(lc fx.Lifecycle, f F) { lc.Append(fx.StartHook(f.Start)) }),
	)
}

// SubmitJobs submits the jobs of a follower, by name, to the workers for I/O.
func SubmitJobs(pool *kernel.Pool, jobs map[string]func(ctx context.Context)) error {
	for name, job := range jobs {
		if err := pool.SubmitIO(name, job); err != nil {
			return err
		}
	}
	return nil
}
