package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"hyssopreach/internal/protocol/platform"
	"hyssopreach/internal/standin/engine"
	"hyssopreach/internal/standin/journal"
	"hyssopreach/internal/standin/plain"
	"hyssopreach/internal/standin/runs"
	"hyssopreach/internal/standin/vmlist"
	"hyssopreach/internal/standin/weights"
	"hyssopreach/internal/state/text"
)

// Settings holds the addresses and the settings of the platform's services.
// The addresses of the endpoints come from the operators' text.
type Settings struct {
	Log         netip.AddrPort
	VMList      netip.AddrPort
	WeightStore netip.AddrPort
	// VMs are listed in addition to the VMs of the endpoints, such as the VMs of
	// the routers.
	VMs []platform.VM
	// Engine and Plain are the settings of every engine and of every plain
	// service. Names, models and fencing checks come from the operators' text.
	Engine  engine.Settings
	Plain   plain.Settings
	Journal journal.Settings
	// ListLag is the time after which readers see a change of the VM list.
	ListLag time.Duration
	// WeightBytesPerSecond is the total transfer rate of the weight store.
	WeightBytesPerSecond float64
}

// Default returns settings for a platform with short delays whose services
// listen on free loopback ports.
func Default() Settings {
	const (
		listLag           = 500 * time.Millisecond
		weightBytesPerSec = 4 << 30
		freeLoopback      = "127.0.0.1:0"
		recordsRetained   = 100_000
	)
	free := netip.MustParseAddrPort(freeLoopback)
	return Settings{
		Log: free, VMList: free, WeightStore: free,
		Engine:               engine.Default(""),
		Plain:                plain.Default(""),
		Journal:              journal.Settings{MaxRecords: recordsRetained, Seed: 1},
		ListLag:              listLag,
		WeightBytesPerSecond: weightBytesPerSec,
	}
}

// Platform is a running simulated platform. It contains no routers.
type Platform struct {
	Log         *journal.Journal
	VMList      *vmlist.List
	WeightStore *weights.Store
	// Engines and Services map the key of an endpoint to its engine or plain
	// service.
	Engines  map[string]*engine.Engine
	Services map[string]*plain.Service
}

// Start starts the platform with the endpoints of the operators' text. If it
// returns an error, it has closed everything that it started.
func Start(settings Settings, document *text.Document) (*Platform, error) {
	f := &Platform{
		Log:         journal.New(settings.Journal),
		VMList:      vmlist.New(vmlist.Settings{Lag: settings.ListLag, VMs: listedVMs(settings.VMs, document)}),
		WeightStore: weights.New(weights.Settings{BytesPerSecond: settings.WeightBytesPerSecond}),
		Engines:     make(map[string]*engine.Engine),
		Services:    make(map[string]*plain.Service),
	}
	err := f.start(settings, document)
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Platform) start(settings Settings, document *text.Document) error {
	if err := f.Log.Start(settings.Log); err != nil {
		return fmt.Errorf("start log: %w", err)
	}
	if err := f.VMList.Start(settings.VMList); err != nil {
		return fmt.Errorf("start VM list: %w", err)
	}
	if err := f.WeightStore.Start(settings.WeightStore); err != nil {
		return fmt.Errorf("start weight store: %w", err)
	}
	for _, pool := range document.Pools {
		for _, endpoint := range pool.Endpoints {
			if err := f.startEndpoint(settings, document, pool.Name, endpoint); err != nil {
				return fmt.Errorf("start endpoint %s: %w", endpoint.Key(), err)
			}
		}
	}
	return nil
}

// startEndpoint starts an engine if the pool belongs to a model service, and a
// plain service otherwise.
func (f *Platform) startEndpoint(settings Settings, document *text.Document, pool string, endpoint text.Endpoint) error {
	if !servesModels(document, pool) {
		s := settings.Plain
		s.Name = endpoint.Name
		service := plain.New(s)
		f.Services[endpoint.Key()] = service
		return service.Start(endpoint.Address)
	}
	s := settings.Engine
	s.Name = endpoint.Name
	s.ChecksFencing = endpoint.ChecksFencing
	s.WeightStore = f.WeightStore.Address()
	s.Models = poolModels(document, pool)
	e := engine.New(s)
	f.Engines[endpoint.Key()] = e
	return e.Start(endpoint.Address)
}

// RunsByKey returns the number of runs of each idempotency key, summed over all
// endpoints.
func (f *Platform) RunsByKey() map[string]int {
	counts := make(map[string]int)
	add := func(s runs.Summary) {
		for key, n := range s.ByKey {
			counts[key] += n
		}
	}
	for _, e := range f.Engines {
		add(e.Runs())
	}
	for _, s := range f.Services {
		add(s.Runs())
	}
	return counts
}

// Close closes all services and endpoints and waits until their handlers have
// returned.
func (f *Platform) Close() error {
	errs := []error{f.Log.Close(), f.VMList.Close(), f.WeightStore.Close()}
	for _, e := range f.Engines {
		errs = append(errs, e.Close())
	}
	for _, s := range f.Services {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// servesModels reports whether a model service uses the pool.
func servesModels(document *text.Document, pool string) bool {
	for _, s := range document.Services {
		if s.Pool == pool && s.Kind == text.KindModel {
			return true
		}
	}
	return false
}

// poolModels returns the models that every engine of the pool has loaded at the
// start.
func poolModels(document *text.Document, pool string) []platform.LoadedModel {
	var models []platform.LoadedModel
	for _, m := range document.Models {
		if m.Pool == pool {
			models = append(models, platform.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
		}
	}
	return models
}

// listedVMs returns the additional VMs and the VMs of the endpoints, each once.
func listedVMs(additional []platform.VM, document *text.Document) []platform.VM {
	vms := append([]platform.VM(nil), additional...)
	listed := make(map[string]bool)
	for _, vm := range vms {
		listed[vm.Name] = true
	}
	started := time.Now()
	for _, pool := range document.Pools {
		for _, endpoint := range pool.Endpoints {
			if listed[endpoint.VM] {
				continue
			}
			listed[endpoint.VM] = true
			vms = append(vms, platform.VM{
				Name: endpoint.VM, FailureDomain: endpoint.FailureDomain,
				Address: endpoint.Address.Addr(), Started: started,
			})
		}
	}
	return vms
}
