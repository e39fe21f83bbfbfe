#include "dragonflyfall/relay.h"

int
dff_relay_status(dff_fate_t fate, dff_trouble_t trouble)
{
	switch (fate) {
	case DFF_FATE_UNSENT:
	case DFF_FATE_REFUSED:
	case DFF_FATE_PREFILLED:
		return 503;
	case DFF_FATE_OPEN:
		return trouble == DFF_TROUBLE_TIME ? 504 : 502;
	case DFF_FATE_BEGUN:
		return 0;
	}
	g_assert_not_reached();
}
