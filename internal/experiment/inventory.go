// Package experiment measures fleets of node processes on one machine and plots
// the results.
package experiment

import (
	"encoding/json"
	"fmt"

	vanillabarrow "github.com/vanillabarrow/vanillabarrow"
	"github.com/vanillabarrow/vanillabarrow/internal/inventory"
	"github.com/vanillabarrow/vanillabarrow/internal/standin"
)

// InventorySize is the size of a published inventory.
type InventorySize struct {
	Regions     int
	DataCentres int
	Services    int
	Targets     int
}

// FullInventorySize returns the size of inventory that the mesh is designed
// for.
func FullInventorySize() InventorySize {
	return InventorySize{Regions: 7, DataCentres: 21, Services: 440, Targets: 4600}
}

// fleet is a published inventory with the node processes of its first targets.
// The other targets have no process.
type fleet struct {
	size InventorySize
	// dataCentres holds a document with the VMs and targets of each data
	// centre.
	dataCentres []*inventory.Document
	// rules is the document that is not specific to one data centre, with the
	// regions, services and routes.
	rules     *inventory.Document
	processes []*process
}

func dcName(i int) string { return fmt.Sprintf("dc-%02d", i) }

// newFleet returns a fleet with the given size of inventory. Its targets, and
// so its processes, are spread evenly over the data centres.
func newFleet(size InventorySize, processes []*process) *fleet {
	f := &fleet{size: size, processes: processes}
	f.rules = &inventory.Document{Kind: inventory.KindConfig, Schema: inventory.SchemaVersion}
	for i := range size.Regions {
		f.rules.Regions = append(f.rules.Regions, vanillabarrow.Region{Name: fmt.Sprintf("region-%d", i)})
	}
	for i := range size.Services {
		name := fmt.Sprintf("service-%03d", i)
		f.rules.Services = append(f.rules.Services, inventory.ServiceEntry{Name: name})
		f.rules.Routes = append(f.rules.Routes, vanillabarrow.Route{Name: name, PathPrefix: "/" + name, Service: name})
	}
	for i := range size.DataCentres {
		f.dataCentres = append(f.dataCentres, &inventory.Document{
			Kind: inventory.KindConfig, Schema: inventory.SchemaVersion,
			DataCentres: []vanillabarrow.DataCentre{{Name: dcName(i), Region: fmt.Sprintf("region-%d", i%size.Regions)}},
		})
	}
	for i := range size.Targets {
		f.addTarget(i)
	}
	return f
}

// addTarget adds the i-th target and its VM. A target without a process gets
// addresses at which nothing listens.
func (f *fleet) addTarget(i int) {
	doc := f.dataCentres[i%f.size.DataCentres]
	vm := vanillabarrow.VM{
		Name:        vmName(i),
		DataCentre:  dcName(i % f.size.DataCentres),
		PeerAddress: fmt.Sprintf("10.%d.%d.%d:7000", i>>16, i>>8&0xff, i&0xff),
	}
	target := vanillabarrow.Target{
		Name:        targetName(i),
		Service:     fmt.Sprintf("service-%03d", i%f.size.Services),
		VM:          vm.Name,
		Address:     fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&0xff, i&0xff),
		Slots:       12,
		Connections: 130,
	}
	if i < len(f.processes) {
		vm.PeerAddress = f.processes[i].peer
		vm.OperatorAddress = f.processes[i].operator
	}
	doc.VMs = append(doc.VMs, vm)
	doc.Targets = append(doc.Targets, target)
}

func vmName(i int) string     { return fmt.Sprintf("vm-%04d", i) }
func targetName(i int) string { return fmt.Sprintf("target-%04d", i) }

// publish publishes the inventory as a manifest with a part for the rules and
// one for each data centre, and returns its version.
func (f *fleet) publish(p *standin.Platform) vanillabarrow.Version {
	files := []inventory.File{{Name: "rules", Bytes: standin.Marshal(f.rules)}}
	for i, doc := range f.dataCentres {
		files = append(files, inventory.File{Name: dcName(i), Bytes: standin.Marshal(doc)})
	}
	manifest, parts := inventory.BuildManifest(files)
	for _, part := range parts {
		p.PublishIfAbsent(part.Key, part.Bytes)
	}
	return vanillabarrow.Version(p.Publish(string(vanillabarrow.TopicConfig), standin.Marshal(manifest)))
}

// toggleTarget takes the first target of the n-th data centre out of service,
// or puts it back if it is out. n may exceed the number of data centres and
// then wraps around.
func (f *fleet) toggleTarget(n int) {
	doc := f.dataCentres[n%len(f.dataCentres)]
	name := doc.Targets[0].Name
	if len(doc.OutOfService.Targets) > 0 {
		doc.OutOfService.Targets = nil
		return
	}
	doc.OutOfService.Targets = []string{name}
}

// publishVMs publishes the list of all VMs. The state of those without a
// process is leaving.
func (f *fleet) publishVMs(p *standin.Platform) error {
	list := vanillabarrow.VMList{}
	n := 0
	for i := range f.size.Targets {
		doc := f.dataCentres[i%f.size.DataCentres]
		vm := doc.VMs[i/f.size.DataCentres]
		entry := vanillabarrow.VMEntry{
			Name: vm.Name, DataCentre: vm.DataCentre, PeerAddress: vm.PeerAddress, State: vanillabarrow.VMLeaving,
		}
		if n < len(f.processes) {
			entry.State = vanillabarrow.VMLive
		}
		n++
		list.VMs = append(list.VMs, entry)
	}
	b, err := json.Marshal(list)
	if err != nil {
		return err
	}
	p.Publish(string(vanillabarrow.TopicVMs), b)
	return nil
}
