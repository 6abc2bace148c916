package node

import (
	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/manage"
)

// newLoops returns the controllers that run while this process leads, and registers
// them for the reports of entry instances.
func (n *Node) newLoops(c *control) ([]contrl.Loop, error) {
	c.orderClient = backnd.New(n.cfg.Backends)
	cfg := manage.Config{
		Store: c.store, Clock: n.cfg.Now, Event: n.event, Meter: n.meters, Orders: c.orderClient, Timing: n.cfg.Manage, Planner: n.cfg.Planner,
	}
	if p := n.cfg.Settings.Platform; p.Cloud != "" {
		c.cloudClient = cloud.New(cloud.Config{Cloud: p.Cloud, WeightStore: p.WeightStore, Token: p.Token})
		cfg.Cloud = c.cloudClient
	}
	m, err := manage.New(cfg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.watchServer.Handle(entry.DemandSection, m.HandleDemand)
	c.watchServer.Handle(entry.ResultsSection, m.HandleResults)
	c.watchServer.Handle(entry.CellsSection, m.HandleCells)
	return m.Loops(), nil
}
