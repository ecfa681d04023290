package logging

// Names of events. Every line of a node's log has one of them as its message.
const (
	EventStarting               = "starting"
	EventListening              = "listening"
	EventReady                  = "node is ready"
	EventStopping               = "stopping"
	EventStopped                = "stopped"
	EventRequestsAborted        = "open requests cut"
	EventListenerFailed         = "listener failed"
	EventTCPUserTimeoutNotSet   = "connection not limited"
	EventJobPanicked            = "job panicked"
	EventPaused                 = "node was paused"
	EventLinesDropped           = "lines left out"
	EventSettingsReloaded       = "settings reloaded"
	EventSettingsRejected       = "settings rejected"
	EventSettingsUnreadable     = "settings file not read"
	EventOperatorResponseFailed = "answer to operator failed"

	EventRequestRefused      = "request refused"
	EventRefusalNotDelivered = "refusal not delivered"
	EventAttemptEnded        = "attempt ended"
	EventAttemptSettled      = "attempt settled"
	EventResponseReplaced    = "answer replaced"
	EventResponseTruncated   = "answer broke off"
	EventAttemptRefused      = "attempt refused"
	EventAttemptFailed       = "attempt failed at the target"

	EventTargetEjected           = "target set aside"
	EventTargetReinstated        = "target regained"
	EventDataCentreBreakerOpened = "data centre set aside"
	EventDataCentreBreakerClosed = "data centre regained"
	EventRouteThrottled          = "route throttled"
	EventRouteUnthrottled        = "route no longer throttled"
	EventExpiredTargetServed     = "lapsed target served"
	EventExpiredTargetNotServed  = "lapsed target given up"
	EventHealthChecked           = "health learned"
	EventHealthCheckFailed       = "health check failed"

	EventConfigApplied          = "configuration applied"
	EventTargetAdded            = "target added"
	EventTargetRemoved          = "target removed"
	EventTargetDraining         = "target draining"
	EventTargetExpired          = "target lapsed"
	EventDataCentreOutOfService = "data centre taken out"
	EventDataCentreInService    = "data centre given back"
	EventItemsReceived          = "items learned"
	EventItemRejected           = "item left out"
	EventPlatformUnavailable    = "platform lost"
	EventPlatformRecovered      = "platform regained"
	EventHistoryLost            = "platform history lost"
	EventPlatformReadStarted    = "platform reading begun"
	EventPlatformReadStopped    = "platform reading ended"
	EventPeerConnected          = "peer followed"
	EventPeerDisconnected       = "peer lost"
	EventHintFailed             = "hint led nowhere"
	EventItemPullFailed         = "announced items not pulled"

	EventWatchFailed             = "platform watch failed"
	EventFirstReadFailed         = "first platform read failed"
	EventRemoteReaderUnreachable = "reader elsewhere not reached"
	EventVersionApplied          = "version applied"
	EventVersionNotApplied       = "version not applied"
	EventParentDisconnected      = "parent lost"
	EventVersionFetchFailed      = "announced version not fetched"
)

// Event describes one event for docs/LOGS.md.
type Event struct {
	// Fields are the keys that its lines may have, besides time, level, msg and
	// vm.
	Fields  []string
	Meaning string
}

// Events returns the description of every event by its name.
func Events() map[string]Event {
	return map[string]Event{
		EventStarting:               {[]string{"version", "profile", "dataCentre", "service", "target", "seeds"}, "the process starts with these settings"},
		EventListening:              {[]string{"listener", "address"}, "a listener is open"},
		EventReady:                  {[]string{"asOf", "confirmedAge", "version", "peers", "platform"}, "work is taken; the age of the platform's last word"},
		EventStopping:               {[]string{"cause"}, "the node was told to leave"},
		EventStopped:                {[]string{"error", "linesLeftOut"}, "the node has left"},
		EventRequestsAborted:        {[]string{"listener", "error"}, "requests outlasted the drain timeout"},
		EventListenerFailed:         {[]string{"listener", "error"}, "a listener no longer accepts connections"},
		EventTCPUserTimeoutNotSet:   {[]string{"listener", "error"}, "the kernel refused the limit on unacknowledged bytes of a connection"},
		EventJobPanicked:            {[]string{"job", "panic", "stack"}, "a fault of the program; the job ended"},
		EventPaused:                 {[]string{"for"}, "the process stood still; new work waits for a check of the configuration"},
		EventLinesDropped:           {[]string{"count"}, "lines over their bound since the last such line"},
		EventSettingsReloaded:       {[]string{"service", "before", "needsRestart"}, "the settings file changed"},
		EventSettingsRejected:       {[]string{"error"}, "the settings file changed and is wrong; nothing was taken over"},
		EventSettingsUnreadable:     {[]string{"file", "error"}, "the settings file can't be read; the settings stay"},
		EventOperatorResponseFailed: {[]string{"error"}, "an operator's connection broke"},

		EventRequestRefused:      {[]string{"id", "route", "verdict", "reason", "detail", "retryAfter", "retries", "version", "took"}, "the entry's final refusal, with the configuration that decided and the time the request was held"},
		EventRefusalNotDelivered: {[]string{"id", "reason", "error"}, "the caller had gone"},
		EventAttemptEnded:        {[]string{"id", "attempt", "target", "verdict", "reason", "detail", "next", "attempts", "took", "loadAge", "inFlight", "queued", "limit", "version"}, "the entry's attempt at a target failed; what it had been told of the target's load, and how old that was; next is set when another attempt follows"},
		EventAttemptSettled:      {[]string{"id", "attempt", "target", "state", "took"}, "the gate told over another connection what became of an attempt"},
		EventResponseReplaced:    {[]string{"id", "attempt", "target", "status", "attempts"}, "a target's own failure is put aside for a try at another target"},
		EventResponseTruncated:   {[]string{"id", "target", "error"}, "a connection was broken because the answer was"},
		EventAttemptRefused:      {[]string{"id", "attempt", "target", "route", "verdict", "reason", "detail", "took", "inFlight", "queued", "limit", "wait", "version"}, "the gate refused an attempt; its queue at that moment, and the configuration that decided"},
		EventAttemptFailed:       {[]string{"id", "attempt", "target", "verdict", "reason", "detail", "took"}, "the target gave no answer, or none that counts"},

		EventTargetEjected:           {[]string{"target", "failures"}, "failures in a row; the target gets a trial now and then"},
		EventTargetReinstated:        {[]string{"target"}, "the target answered again"},
		EventDataCentreBreakerOpened: {[]string{"dataCentre", "target"}, "nodes there fell silent; it gets a trial now and then"},
		EventDataCentreBreakerClosed: {[]string{"dataCentre", "target"}, "a node there answered again"},
		EventRouteThrottled:          {[]string{"route", "target"}, "requests on the route fail further down; a share of them is shed"},
		EventRouteUnthrottled:        {[]string{"route", "target"}, "requests on the route are all let through again"},
		EventExpiredTargetServed:     {[]string{"target", "healthAge"}, "this node is cut off from the platform and its own target answers health checks, so it is served although its entry lapsed"},
		EventExpiredTargetNotServed:  {[]string{"target", "healthAge"}, "the platform answers this node without naming the target, or the target no longer answers"},
		EventHealthChecked:           {[]string{"target", "answeredBy", "ok", "warming"}, "the own target was asked for its health"},
		EventHealthCheckFailed:       {[]string{"target", "failures", "error"}, "the own target did not answer a health check"},

		EventConfigApplied:          {[]string{"asOf", "age", "routes", "services", "targets"}, "items are in force; the age of the platform's last word"},
		EventTargetAdded:            {[]string{"target", "service", "dataCentre", "asOf", "cold"}, "the platform names a new target"},
		EventTargetRemoved:          {[]string{"target", "service", "dataCentre", "asOf"}, "the target no longer counts"},
		EventTargetDraining:         {[]string{"target", "service", "dataCentre", "asOf"}, "the target takes no more work"},
		EventTargetExpired:          {[]string{"target", "service", "dataCentre", "asOf"}, "the platform dropped the target's entry without a word of leaving; its gate decides whether it still serves"},
		EventDataCentreOutOfService: {[]string{"dataCentre", "asOf"}, "operators take the data centre out"},
		EventDataCentreInService:    {[]string{"dataCentre", "asOf"}, "operators give the data centre back"},
		EventItemsReceived:          {[]string{"from", "asOf", "items"}, "items came from the platform or a node"},
		EventItemRejected:           {[]string{"asOf", "error"}, "an entry names no target, or a configuration was rejected; the error names key, revision and field"},
		EventPlatformUnavailable:    {[]string{"error", "after"}, "a call to the platform failed, the first in a row"},
		EventPlatformRecovered:      {[]string{"failures"}, "the platform answers again"},
		EventHistoryLost:            {[]string{"after"}, "the items are listed anew"},
		EventPlatformReadStarted:    {[]string{"reader", "age", "asOf"}, "this node reads the platform: as a reader, or because the platform's last word is old"},
		EventPlatformReadStopped:    {[]string{"age", "asOf"}, "other nodes tell this one what the platform holds"},
		EventPeerConnected:          {[]string{"slot", "peer", "asOf", "age"}, "another node sends what it learns"},
		EventPeerDisconnected:       {[]string{"slot", "peer", "failures", "error"}, "the stream of another node ended"},
		EventHintFailed:             {[]string{"peer", "error"}, "a node that was said to know more did not answer"},
		EventItemPullFailed:         {[]string{"peer", "error"}, "a node that announced items did not give them"},

		EventWatchFailed:             {[]string{"topic", "failures", "error"}, "a watch of the configuration service failed"},
		EventFirstReadFailed:         {[]string{"error"}, "the first read of the configuration service failed"},
		EventRemoteReaderUnreachable: {[]string{"peer", "error"}, "a reader of another data centre did not answer"},
		EventVersionApplied:          {[]string{"topic", "version", "from"}, "a published version is in force"},
		EventVersionNotApplied:       {[]string{"topic", "version", "from", "outcome", "error"}, "a published version was not put in force"},
		EventParentDisconnected:      {[]string{"slot", "peer", "failures", "error"}, "the stream of a parent ended"},
		EventVersionFetchFailed:      {[]string{"peer", "topic", "error"}, "an announced version could not be fetched"},
	}
}
