/*
 * Planted faults chosen at run time.
 */
#include "fault.h"

#include <stdlib.h>
#include <string.h>

int
fault_is_on(const char *name)
{
	static const char *planted;

	/* One process runs with one fault, so it is looked up once. */
	if (planted == NULL)
		planted = getenv("DFF_PLANTED");
	if (planted == NULL)
		planted = "";
	return strcmp(planted, name) == 0;
}
