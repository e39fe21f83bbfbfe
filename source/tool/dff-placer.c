/*
 * The placer: holds leases over shards of engines and gives them orders.
 * One runs beside each entry and does nothing unless it holds a lease.
 */
#include "node_settings.h"

int
main(int argc, char **argv)
{
	return node_main(NODE_PLACER, "dff-placer",
	    "Holds leases over engines and changes their roles, models and "
	    "versions.",
	    argc, argv);
}
