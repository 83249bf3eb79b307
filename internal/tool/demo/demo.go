package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"
	"github.com/integrii/flaggy"

	"hyssopreach/internal/protocol/caller"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/tool/load"
	"hyssopreach/internal/tool/rig"
	"hyssopreach/internal/tool/trial"
	"hyssopreach/internal/transport/command"
)

const (
	routers        = 3
	engines        = 6
	plainEndpoints = 2
	organisations  = 16
	slots          = 8
	stepTime       = 4 * time.Millisecond
	entryHold      = 2 * time.Second
	startTimeout   = 20 * time.Second
	plainRequests  = 200
	// floodBacklog, heavyBacklog and lightBacklog are the numbers of requests
	// that an organisation with such a load keeps waiting.
	floodBacklog          = 60
	heavyBacklog          = 10
	lightBacklog          = 2
	floodingOrganisations = 3
	meanTokens            = 60
)

// Command is the demo subcommand.
type Command struct {
	seconds int
	logs    bool
}

// Subcommand declares the command's flags.
func (c *Command) Subcommand() *flaggy.Subcommand {
	c.seconds = 8
	s := flaggy.NewSubcommand("demo")
	s.Description = "Demonstrate the whole request path in one process on loopback: three routers, engines, a plain service, sixteen organisations."
	s.Int(&c.seconds, "s", "seconds", "How long to load the routers.")
	s.Bool(&c.logs, "l", "logs", "Write the routers' logs to standard error.")
	return s
}

// Run runs the demonstration and prints its summary.
func (c *Command) Run(ctx context.Context, e *command.Environment) error {
	if c.seconds < 1 || c.seconds > 600 {
		return &command.ExitError{Code: command.ExitUsage, Err: fmt.Errorf("--seconds is %d; give 1 to 600", c.seconds)}
	}
	began := time.Now()
	logger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	if c.logs {
		logger.Handler = logfmt.New(e.Err)
	}
	r, err := startRig(ctx, logger)
	if err != nil {
		return err
	}
	if err := runDemo(ctx, e.Out, r, began, time.Duration(c.seconds)*time.Second); err != nil {
		_ = r.Close()
		return err
	}
	return r.Close()
}

func startRig(ctx context.Context, logger log.Interface) (*rig.Rig, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	domains := []string{"Kharagpur", "Kolkata", "Durgapur"}
	platform := fleet.Default()
	platform.Engine.MaxBatch = slots
	platform.Engine.StepTime = stepTime
	platform.Engine.StepTimePerRequest = 0
	return rig.Start(ctx, rig.Options{
		Document: rig.NewDocument(organisations, engines, plainEndpoints, domains), Routers: routers, FailureDomains: domains,
		Platform: platform, EntryHold: entryHold, Logger: logger,
	})
}

func callerAddresses(r *rig.Rig) []netip.AddrPort {
	all := make([]netip.AddrPort, routers)
	for i := range all {
		all[i] = r.CallerAddress(i)
	}
	return all
}

func runDemo(ctx context.Context, out io.Writer, r *rig.Rig, began time.Time, length time.Duration) error {
	first, err := firstAnswer(ctx, r)
	if err != nil {
		return err
	}
	print := printer{out}
	print.line("first answer streamed after %v: %s", time.Since(began).Round(time.Millisecond), first)
	print.line("loading %d routers, %d engines of %d slots and a plain service of %d endpoints with %d organisations for %v",
		routers, engines, slots, plainEndpoints, organisations, length)
	result := trial.Run(ctx, r, trial.Options{
		Organisations: organisationLoads(), WarmUp: length / 4, Length: length, SlotsPerEngine: slots, Seed: 1,
	})
	print.outcomes(&result)
	plain := load.Run(ctx, &load.Settings{
		Addresses: callerAddresses(r), Keys: []string{rig.CallerKey("org-16")}, Callers: 4, Requests: plainRequests,
		RequestMix: load.RequestMix{Kinds: []load.Kind{load.KindAsset, load.KindShare}, PlainPrefix: caller.PathServices + rig.PlainService},
		Resends:    3, Timeout: 10 * time.Second, Seed: 1,
	})
	print.line("")
	plain.Print(out, "assets-and-share-links")
	print.summary(&result)
	return print.check(&result, plain)
}

// organisationLoads returns the load of each organisation: the first three flood
// two routers, and the others send a heavy or a light load to one router.
func organisationLoads() []trial.Organisation {
	all := make([]trial.Organisation, organisations)
	for i := range all {
		one := trial.Organisation{
			Name: fmt.Sprintf("org-%02d", i+1), Weight: 1, Tokens: meanTokens,
			Backlog: heavyBacklog, Routers: []int{i % routers},
		}
		switch {
		case i < floodingOrganisations:
			one.Backlog, one.Routers = floodBacklog, []int{0, 1}
		case i%2 == 0:
			one.Backlog = lightBacklog
		}
		all[i] = one
	}
	return all
}

// firstAnswer streams one answer and returns a text with its numbers of events
// and bytes.
func firstAnswer(ctx context.Context, r *rig.Rig) (string, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":5,"messages":[{"role":"user","content":"The set will not start."}]}`, rig.Model)
	url := "http://" + r.CallerAddress(0).String() + caller.PathChatCompletions
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("create the request for the first answer: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+rig.CallerKey("org-01"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("send the request for the first answer to router %s: %w", r.CallerAddress(0), err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("read the first answer from router %s: %w", r.CallerAddress(0), err)
	}
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return "", fmt.Errorf("first answer from router %s is not a complete stream: status %d: %s", r.CallerAddress(0), response.StatusCode, data)
	}
	return fmt.Sprintf("%d events, %d bytes", strings.Count(string(data), "data: "), len(data)), nil
}

// printer writes the summary. It ignores errors of single lines, since a failure
// to write to standard output ends the program.
type printer struct{ out io.Writer }

func (p printer) line(format string, values ...any) {
	_, _ = fmt.Fprintf(p.out, format+"\n", values...)
}

func (p printer) outcomes(result *trial.Result) {
	p.line("")
	t := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "organisation\twaiting\tanswered\trefused\twrong\tcut at end\ttokens\tp50 ms\tp99 ms\t")
	for i := range result.Outcomes {
		o := &result.Outcomes[i]
		refused := 0
		for _, count := range o.Report.Refused {
			refused += count
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", o.Organisation.Name, o.Organisation.Backlog,
			o.Report.Answered, refused, o.Report.Wrong, o.Report.Cut, o.Tokens,
			o.Report.Percentile(50).Milliseconds(), o.Report.Percentile(99).Milliseconds())
	}
	_ = t.Flush()
}

func (p printer) summary(result *trial.Result) {
	p.line("")
	p.line("fairness gap: %.0f tokens (%.1f x the largest cost of %d; %s ahead of %s)",
		result.Gap.Service, result.Gap.Service/float64(result.LargestCost), result.LargestCost, result.Gap.Ahead, result.Gap.Behind)
	p.line("utilisation of slots while work waits: %.2f%%", 100*result.Utilisation)
	p.line("tokens a second: %.0f", result.TokensPerSecond)
	for _, one := range result.Traffic {
		p.line("control traffic of %s: %.0f bytes a second", one.Router, one.BytesPerSecond)
	}
}

// check returns an error if an answer was wrong or a plain request got none.
func (p printer) check(result *trial.Result, plain *load.Report) error {
	wrong, unanswered := plain.Wrong, plain.Requests-plain.Answered
	for i := range result.Outcomes {
		wrong += result.Outcomes[i].Report.Wrong
	}
	if wrong > 0 || unanswered > 0 {
		return fmt.Errorf("%d answers were wrong, %d plain requests got no answer", wrong, unanswered)
	}
	p.line("every finished answer was complete and belonged to its request; requests in flight were cancelled at the end of the load")
	return nil
}
