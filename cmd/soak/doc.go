// Command soak runs dunlinquay's daemons through random series of faults and checks the promises meanwhile.
package main
