package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/engine"
	"hyssopreach/internal/standin/fleet"
	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/standin/plain"
	"hyssopreach/internal/standin/vmlist"
	"hyssopreach/internal/standin/weights"
	"hyssopreach/internal/state/text"
)

// newCommand returns a subcommand and the address that its flag fills in.
func newCommand(name, description string) (*flaggy.Subcommand, *netip.AddrPort) {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	address := netip.MustParseAddrPort("127.0.0.1:0")
	s.NetipAddrPort(&address, "a", "address", "where to listen, such as 127.0.0.1:9000")
	return s, &address
}

func journalCommand() command {
	s, address := newCommand("journal", "the append-only log")
	var settings journal.Settings
	s.Duration(&settings.MaxAge, "", "max-age", "how long records are kept; 0s keeps them for ever")
	s.Int(&settings.MaxRecords, "", "max-records", "how many records a stream keeps; 0 sets no bound")
	return command{s, func(ctx context.Context) error {
		return serve(ctx, "journal", journal.New(settings), *address)
	}}
}

func vmListCommand() command {
	s, address := newCommand("vmlist", "the list of VMs")
	var lag time.Duration
	var file string
	s.Duration(&lag, "", "lag", "how far the list is behind")
	s.String(&file, "", "vms", "JSON file with the list of VMs")
	return command{s, func(ctx context.Context) error {
		var vms []platform.VM
		if file != "" {
			if err := readFile(file, &vms); err != nil {
				return err
			}
		}
		return serve(ctx, "vmlist", vmlist.New(vmlist.Settings{Lag: lag, VMs: vms}), *address)
	}}
}

func weightsCommand() command {
	s, address := newCommand("weights", "the weight store")
	rate := fleet.Default().WeightBytesPerSecond
	s.Float64(&rate, "", "bytes-per-second", "rate of the store")
	return command{s, func(ctx context.Context) error {
		if rate <= 0 {
			return fmt.Errorf("--bytes-per-second: found %v, allowed is above zero", rate)
		}
		return serve(ctx, "weights", weights.New(weights.Settings{BytesPerSecond: rate}), *address)
	}}
}

// engineFlags adds the flags that set the speed of engines.
func engineFlags(s *flaggy.Subcommand, settings *engine.Settings) {
	s.Int(&settings.MaxBatch, "", "max-batch", "requests that run at once")
	s.Duration(&settings.StepTime, "", "step-time", "time between tokens with one request")
	s.Duration(&settings.StepTimePerRequest, "", "step-time-per-request", "added for each further request")
	s.Int(&settings.MeanTokens, "", "mean-tokens", "mean length of an answer")
	s.Duration(&settings.LoadLag, "", "load-lag", "how far load reports are behind")
	s.String(&settings.CrashOn, "", "kill-on", "a body that contains this crashes the engine")
	s.Duration(&settings.RestartAfter, "", "restart-after", "when a crashed engine starts again; 0s is never")
}

func engineCommand() command {
	s, address := newCommand("engine", "a model engine")
	settings := engine.Default("engine")
	var models string
	s.String(&settings.Name, "n", "name", "name of the endpoint")
	s.String(&models, "", "models", "models held, separated by commas; none serves every model")
	s.Bool(&settings.ChecksFencing, "", "checks-fencing", "refuse orders with an old fencing number")
	engineFlags(s, &settings)
	return command{s, func(ctx context.Context) error {
		for name := range strings.SplitSeq(models, ",") {
			if name != "" {
				settings.Models = append(settings.Models, platform.LoadedModel{Name: name})
			}
		}
		return serve(ctx, "engine", engine.New(settings), *address)
	}}
}

func plainCommand() command {
	s, address := newCommand("plain", "a plain service with bookings, assets and share links")
	settings := plain.Default("plain")
	s.String(&settings.Name, "n", "name", "name of the endpoint")
	s.Int(&settings.Concurrency, "", "concurrency", "calls that run at once")
	s.Duration(&settings.CallTime, "", "call-time", "time of one call")
	return command{s, func(ctx context.Context) error {
		return serve(ctx, "plain", plain.New(settings), *address)
	}}
}

func allCommand() command {
	s := flaggy.NewSubcommand("all")
	s.Description = "the log, the VM list, the weight store and every endpoint of an operators' text"
	settings := fleet.Default()
	var file, vms string
	s.AddPositionalValue(&file, "text", 1, true, "the operators' text")
	s.NetipAddrPort(&settings.Log, "", "log", "where the log listens")
	s.NetipAddrPort(&settings.VMList, "", "vmlist", "where the VM list listens")
	s.NetipAddrPort(&settings.WeightStore, "", "weights", "where the weight store listens")
	s.String(&vms, "", "vms", "JSON file with further VMs for the list, such as those of routers")
	s.Duration(&settings.ListLag, "", "list-lag", "how far the VM list is behind")
	engineFlags(s, &settings.Engine)
	return command{s, func(ctx context.Context) error { return runAll(ctx, settings, file, vms) }}
}

func runAll(ctx context.Context, settings fleet.Settings, file, vms string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	document, err := text.Parse(data)
	if err != nil {
		return fmt.Errorf("read %s: %w", file, err)
	}
	if vms != "" {
		if err := readFile(vms, &settings.VMs); err != nil {
			return err
		}
	}
	f, err := fleet.Start(settings, document)
	if err != nil {
		return err
	}
	report("Started", "Log="+f.Log.Address().String(), "VMList="+f.VMList.Address().String(),
		"WeightStore="+f.WeightStore.Address().String(),
		fmt.Sprintf("Engines=%d Services=%d", len(f.Engines), len(f.Services)))
	<-ctx.Done()
	err = f.Close()
	report("Stopped", "StandIn=all")
	return err
}

// readFile decodes a JSON file into the value.
func readFile(name string, value any) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("read %s: %w", name, err)
	}
	return nil
}
