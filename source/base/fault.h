/*
 * Planted faults. A proof of a mechanism must be seen to fail with the
 * mechanism turned off; tests compile a module once more with their own
 * DFF_FAULT() and choose the fault at run time. In the programs it is a
 * constant, and the compiler leaves nothing of it.
 */
#ifndef BASE_FAULT_H
#define BASE_FAULT_H

#ifndef DFF_FAULT
#define DFF_FAULT(name) 0
#endif

#endif
