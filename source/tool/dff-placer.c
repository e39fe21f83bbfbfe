/*
 * The placer: holds leases on shards of engines and sends orders to these
 * engines. One runs beside each entry; without a lease it is idle.
 */
#include "node_settings.h"

int
main(int argc, char **argv)
{
	return node_main(NODE_PLACER, "dff-placer",
	    "Holds leases on engines and changes their roles, models and "
	    "versions.",
	    argc, argv);
}
