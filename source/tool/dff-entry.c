/*
 * The entry: takes callers' requests and sends them to upstreams.
 */
#include "node_settings.h"

int
main(int argc, char **argv)
{
	return node_main(NODE_ENTRY, "dff-entry",
	    "Takes callers' requests and sends each to the engine or service "
	    "that answers it in time.",
	    argc, argv);
}
