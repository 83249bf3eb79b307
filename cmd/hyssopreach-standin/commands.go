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

// newCommand returns a subcommand and the value of its address flag.
func newCommand(name, description string) (*flaggy.Subcommand, *netip.AddrPort) {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	address := netip.MustParseAddrPort("127.0.0.1:0")
	s.NetipAddrPort(&address, "a", "address", "address to listen on, such as 127.0.0.1:9000")
	return s, &address
}

func journalCommand() command {
	s, address := newCommand("journal", "the append-only log")
	var settings journal.Settings
	s.Duration(&settings.MaxAge, "", "max-age", "how long records are retained; 0s retains them indefinitely")
	s.Int(&settings.MaxRecords, "", "max-records", "how many records are retained per stream; 0 sets no limit")
	return command{s, func(ctx context.Context) error {
		return serve(ctx, "journal", journal.New(settings), *address)
	}}
}

func vmListCommand() command {
	s, address := newCommand("vmlist", "the list of VMs")
	var lag time.Duration
	var file string
	s.Duration(&lag, "", "lag", "delay until a change is visible in the list")
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
	s.Float64(&rate, "", "bytes-per-second", "transfer rate of the store")
	return command{s, func(ctx context.Context) error {
		if rate <= 0 {
			return fmt.Errorf("--bytes-per-second: found %v, must be above zero", rate)
		}
		return serve(ctx, "weights", weights.New(weights.Settings{BytesPerSecond: rate}), *address)
	}}
}

// engineFlags adds the flags that set the speed and the faults of engines.
func engineFlags(s *flaggy.Subcommand, settings *engine.Settings) {
	s.Int(&settings.MaxBatch, "", "max-batch", "maximum number of requests that run concurrently")
	s.Duration(&settings.StepTime, "", "step-time", "time between tokens if one request runs")
	s.Duration(&settings.StepTimePerRequest, "", "step-time-per-request", "time added to step-time for each additional running request")
	s.Int(&settings.MeanTokens, "", "mean-tokens", "mean length of an answer in tokens")
	s.Duration(&settings.LoadLag, "", "load-lag", "delay until a change is visible in the load reports")
	s.String(&settings.CrashOn, "", "kill-on", "text that crashes the engine if a request body contains it")
	s.Duration(&settings.RestartAfter, "", "restart-after", "time until a crashed engine restarts; 0s means never")
}

func engineCommand() command {
	s, address := newCommand("engine", "a model engine")
	settings := engine.Default("engine")
	var models string
	s.String(&settings.Name, "n", "name", "name of the endpoint")
	s.String(&models, "", "models", "loaded models, separated by commas; if empty, every model is served")
	s.Bool(&settings.ChecksFencing, "", "checks-fencing", "refuse orders with an outdated fencing number")
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
	s.Int(&settings.Concurrency, "", "concurrency", "maximum number of calls that run concurrently")
	s.Duration(&settings.CallTime, "", "call-time", "duration of one call")
	return command{s, func(ctx context.Context) error {
		return serve(ctx, "plain", plain.New(settings), *address)
	}}
}

func allCommand() command {
	s := flaggy.NewSubcommand("all")
	s.Description = "the log, the VM list, the weight store and every endpoint of a configuration document"
	settings := fleet.Default()
	var file, vms string
	s.AddPositionalValue(&file, "text", 1, true, "file with the configuration document")
	s.NetipAddrPort(&settings.Log, "", "log", "address on which the log listens")
	s.NetipAddrPort(&settings.VMList, "", "vmlist", "address on which the VM list listens")
	s.NetipAddrPort(&settings.WeightStore, "", "weights", "address on which the weight store listens")
	s.String(&vms, "", "vms", "JSON file with additional VMs for the list, such as those of routers")
	s.Duration(&settings.ListLag, "", "list-lag", "delay until a change is visible in the VM list")
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

// readFile decodes a JSON file into the value and refuses unknown fields.
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
