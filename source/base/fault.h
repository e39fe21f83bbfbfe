/*
 * Fault injection. A test of a mechanism must fail when the mechanism is
 * disabled; tests compile a module again with their own DFF_FAULT() and
 * select the fault at run time. In the programs DFF_FAULT() is constant 0,
 * and the compiler removes the code.
 */
#ifndef BASE_FAULT_H
#define BASE_FAULT_H

#ifndef DFF_FAULT
#define DFF_FAULT(name) 0
#endif

#endif
