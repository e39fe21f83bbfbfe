#include "relay/share_sum.h"

#include <math.h>

void
share_sum_decay(share_sum_t *sum, dff_time_t now)
{
	double time = (double)(now - sum->at);

	if (time <= 0)
		return;
	sum->fast *= exp(-time / (double)SHARE_TIME);
	sum->slow *= exp(-time / (double)SHARE_TIME_SLOW);
	sum->at = now;
}

void
share_sum_add(share_sum_t *sum, double amount, dff_time_t now)
{
	share_sum_decay(sum, now);
	sum->fast += amount;
	sum->slow += amount;
}

double
share_sum_rate(share_sum_t *sum, bool slow, dff_time_t now)
{
	share_sum_decay(sum, now);
	return slow ? sum->slow * DFF_SEC / SHARE_TIME_SLOW :
		      sum->fast * DFF_SEC / SHARE_TIME;
}
