/*
 * Planted faults chosen at run time, in builds with MODE=fault: the
 * environment variable DFF_PLANTED names the one that is on.
 */
#ifndef FAKE_FAULT_H
#define FAKE_FAULT_H

/** fault_is_on() - whether a fault is planted */
int fault_is_on(const char *name);

#define DFF_FAULT(name) fault_is_on(#name)

#endif
