#include "dragonflyfall/relay.h"

int
dff_relay_status(dff_progress_t progress, dff_failure_t failure)
{
	switch (progress) {
	case DFF_PROGRESS_UNSENT:
	case DFF_PROGRESS_REJECTED:
	case DFF_PROGRESS_PREFILLED:
		return 503;
	case DFF_PROGRESS_MAY_HAVE_RUN:
		return failure == DFF_FAILURE_TIMEOUT ? 504 : 502;
	case DFF_PROGRESS_ANSWERING:
		return 0;
	}
	g_assert_not_reached();
}
