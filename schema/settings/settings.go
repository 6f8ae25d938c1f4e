// Package settings embeds the JSON schemas of settings files and of the configuration document.
package settings

import "embed"

// Files holds every schema by file name.
//
//go:embed *.schema.json
var Files embed.FS
