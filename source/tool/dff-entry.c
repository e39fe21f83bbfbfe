/*
 * The entry: accepts callers' requests and sends them to upstreams.
 */
#include "node_settings.h"

int
main(int argc, char **argv)
{
	return node_main(NODE_ENTRY, "dff-entry",
	    "Accepts callers' requests and sends each to an engine or service "
	    "that is expected to answer in time.",
	    argc, argv);
}
