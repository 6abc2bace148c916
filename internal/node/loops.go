package node

import (
	"cranberrypath.example/cranberrypath/internal/backnd"
	"cranberrypath.example/cranberrypath/internal/cloud"
	"cranberrypath.example/cranberrypath/internal/contrl"
	"cranberrypath.example/cranberrypath/internal/entry"
	"cranberrypath.example/cranberrypath/internal/manage"
)

// loops returns the controllers that run while this process leads, and hands
// them the reports of entry instances.
func (n *Node) loops(c *control) ([]contrl.Loop, error) {
	c.orders = backnd.New(n.cfg.Backends)
	cfg := manage.Config{
		Store: c.store, Clock: n.cfg.Now, Event: n.event, Meter: n.meters, Orders: c.orders, Timing: n.cfg.Manage, Planner: n.cfg.Planner,
	}
	if p := n.cfg.Settings.Platform; p.Cloud != "" {
		c.platform = cloud.New(cloud.Config{Cloud: p.Cloud, WeightStore: p.WeightStore, Token: p.Token})
		cfg.Cloud = c.platform
	}
	m, err := manage.New(cfg)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c.watch.Handle(entry.ReportDemand, m.Demand)
	c.watch.Handle(entry.ReportResults, m.Results)
	c.watch.Handle(entry.ReportCells, m.Cells)
	return m.Loops(), nil
}
