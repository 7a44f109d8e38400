// Package transfer moves verified chunks between instances, the weight store
// and the origin, and assembles the files of weights sets for the engine.
//
// Transfer is the type that the agent embeds. Layout of its cache folder:
//
//	manifests/{hex}          manifests by digest
//	versions/{hex}.partial/  files of a manifest while chunks arrive
//	versions/{hex}/          files of a manifest, every chunk verified
//	sets/{set id}/           files of a weights set, links into versions/
//	index/{set id}.json      the content of each assembled set
//	penalties                peers that sent corrupt chunks, until they expire
//
// Folders appear under their final name only when complete. Nothing in the
// cache folder is trusted after a restart: chunks are hashed again, and damaged
// penalties are ignored.
package transfer
