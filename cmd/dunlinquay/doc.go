// Command dunlinquay runs one daemon, checks settings, shows a demo, and is the operators' command line.
package main
