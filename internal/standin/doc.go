// Package standin holds small stand-ins for engines, plain services, the weight store and the origin.
package standin
