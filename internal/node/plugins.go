package node

import (
	// Plug-ins register themselves when they are imported.
	_ "github.com/vanillabarrow/vanillabarrow/internal/balance"
	_ "github.com/vanillabarrow/vanillabarrow/internal/caller"
	_ "github.com/vanillabarrow/vanillabarrow/internal/discovery"
	_ "github.com/vanillabarrow/vanillabarrow/internal/dispatch"
	_ "github.com/vanillabarrow/vanillabarrow/internal/gate"
	_ "github.com/vanillabarrow/vanillabarrow/internal/hedge"
	_ "github.com/vanillabarrow/vanillabarrow/internal/limit"
	_ "github.com/vanillabarrow/vanillabarrow/internal/membership"
	_ "github.com/vanillabarrow/vanillabarrow/internal/operator"
	_ "github.com/vanillabarrow/vanillabarrow/internal/peer"
	_ "github.com/vanillabarrow/vanillabarrow/internal/platform"
	_ "github.com/vanillabarrow/vanillabarrow/internal/relay"
	_ "github.com/vanillabarrow/vanillabarrow/internal/retry"
	_ "github.com/vanillabarrow/vanillabarrow/internal/rollout"
	_ "github.com/vanillabarrow/vanillabarrow/internal/target"
	_ "github.com/vanillabarrow/vanillabarrow/internal/tenant"
	_ "github.com/vanillabarrow/vanillabarrow/platform"
)
