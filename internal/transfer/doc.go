// Package transfer downloads weights in chunks from peers, the regional store
// and the origin, verifies them, serves them to other instances, and assembles
// the files of weights sets for the engine.
//
// The agent runs one Transfer per instance. Layout of its cache directory:
//
//	manifests/{hex}          manifests by digest
//	versions/{hex}.partial/  files of an incomplete version
//	versions/{hex}/          files of a version whose chunks are all verified
//	versions/{hex}.old/      a damaged version that an engine may still have open
//	sets/{set id}/           files of a weights set, hard links into versions/
//	index/{set id}.json      the WeightsSet of each assembled set
//	penalties                peers that sent corrupt chunks, until they expire
//
// Directories get their final name by a rename once they are complete. After a
// restart the content of the cache is not trusted: chunks are hashed again, and
// a damaged penalties file is ignored.
package transfer
