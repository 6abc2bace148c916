package node

import "cranberrypath.example/cranberrypath/internal/contrl"

// loops returns the controllers that run while this process leads.
func (n *Node) loops(*control) []contrl.Loop { return nil }
