package routing_test

import (
	"fmt"
	"time"

	"github.com/rhubarbhill/rhubarbhill/routing"
)

func Example() {
	document := &routing.Document{
		Version: 1,
		Routes: []routing.Route{{
			Name: "plans", Host: "quotes.example", Prefix: "/plan/", Kind: routing.Stream, Timeout: 6 * time.Second,
			Targets: []routing.Target{{Service: "quote", Weight: 1}},
		}},
		Services: []routing.Service{{Name: "quote"}},
	}
	if err := document.Validate(); err != nil {
		fmt.Println(err)
		return
	}
	route := routing.Compile(document).Route("quotes.example", "/plan/7")
	fmt.Println(route.Name, route.Pick(0.5))
	// Output: plans quote
}
