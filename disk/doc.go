// Package disk keeps synced files and one shared log under the data folder.
package disk
