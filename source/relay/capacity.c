/*
 * The times of an upstream are averaged over about a second; a longer average
 * stands in for them while there are few. Logarithms make twice as fast and
 * twice as slow weigh the same.
 */
#include "relay/capacity.h"

#include <glib.h>
#include <math.h>

#include "base/fault.h"

/* Time in which the weight of a measurement falls to 1/e. */
#define RECENT_TIME DFF_SEC
/* Weight of the longer average beside recent times, and of the pool's mean. */
#define PRIOR_WEIGHT 1.0
#define MEAN_WEIGHT  0.5
/* Part of a new time in the longer average. */
#define PRIOR_GAIN 0.25
/* Without new times the longer average falls back to the pool's mean within
 * this time. */
#define PRIOR_TIME (15 * DFF_SEC)
/* Certainty left after a restart. */
#define RESTART_SHARE 0.5
/* Bounds of a time beside the pool's mean: logarithm of 8. */
#define LOG_MAX 2.08
/* Times that the pool's mean is taken over. */
#define MEAN_SAMPLES_MAX 60.0
/* Smallest time, in the unit of the pool. */
#define TIME_MIN 1e-9
/* Age at which an upstream's statement of its pace says no more than its
 * mean. */
#define PACE_TIME (500 * DFF_MSEC)
/* Bounds of that statement. */
#define PACE_MIN 0.1
#define PACE_MAX 10.0
/* Statements that their mean is taken over, and those that the mean counts for
 * after a restart. */
#define PACE_COUNT_MAX	   20.0
#define PACE_COUNT_RESTART 2.0
/* Weight of a time in the distrust of the statements. */
#define DISTRUST_GAIN 0.1
/* Mean excess of the logarithms from which statements are not used. */
#define DISTRUST_MAX 0.2
/* A time of so much more than at few requests at once counts as grown:
 * logarithm of 1.6. */
#define GROWN_LOG 0.47
/* Requests by which the number taken well falls and rises after a time. */
#define WELL_FALL 0.3
#define WELL_RISE 0.2
/* Weight of one upstream in the spread of its pool, and the spread from which
 * upstreams differ: they are 20 % apart. */
#define SPREAD_GAIN 0.05
#define SPREAD_MIN  0.04
/* Believed to be slow. */
#define DOUBT_FACTOR 1.25
/* Time without a measurement after which that is doubted. */
#define DOUBT_TIME DFF_SEC

void
capacity_restart(capacity_t *capacity)
{
	capacity->weight = 0;
	capacity->prior_weight *= RESTART_SHARE;
	capacity->pace = 0;
	capacity->pace_at = 0;
	capacity->pace_count = MIN(capacity->pace_count, PACE_COUNT_RESTART);
	capacity->distrust = 0;
	capacity->takes_well = 0;
	capacity->own = (capacity_report_t){0};
	capacity->domain = (capacity_report_t){0};
}

static double
fade(dff_time_t age, dff_time_t time)
{
	return age <= 0 ? 1.0 : exp(-(double)age / (double)time);
}

void
capacity_note_pace(capacity_t *capacity, double pace, dff_time_t at)
{
	pace = CLAMP(pace, PACE_MIN, PACE_MAX);
	if (capacity->pace > 0 && at <= capacity->pace_at)
		return;
	capacity->pace_count = MIN(capacity->pace_count + 1, PACE_COUNT_MAX);
	capacity->pace_mean +=
	    (pace - capacity->pace_mean) / capacity->pace_count;
	capacity->pace = pace;
	capacity->pace_at = at;
}

/* What it said of its pace, falling back to the mean with its age. */
static double
said_pace(const capacity_t *capacity, dff_time_t now)
{
	double fresh;

	if (capacity->pace_mean <= 0 || DFF_FAULT(RELAY_PACE_UNHEARD))
		return 1;
	if (capacity->pace <= 0)
		return capacity->pace_mean;
	fresh = 1 - (double)(now - capacity->pace_at) / (double)PACE_TIME;
	fresh = CLAMP(fresh, 0, 1);
	if (DFF_FAULT(RELAY_PACE_AGELESS))
		fresh = 1;
	return capacity->pace_mean +
	    (capacity->pace - capacity->pace_mean) * fresh;
}

double
capacity_pace(const capacity_t *capacity, dff_time_t now)
{
	if (capacity->distrust > DISTRUST_MAX &&
	    !DFF_FAULT(RELAY_PACE_BELIEVED))
		return 1;
	return said_pace(capacity, now);
}

void
capacity_add(
    capacity_t *capacity, double log_time, double count, dff_time_t now)
{
	double weight =
	    capacity->weight * fade(now - capacity->weighed_at, RECENT_TIME);

	if (count <= 0 || !isfinite(log_time) ||
	    DFF_FAULT(RELAY_CAPACITY_UNLEARNED))
		return;
	capacity->recent =
	    (capacity->recent * weight + log_time * count) / (weight + count);
	capacity->weight = weight + count;
	capacity->weighed_at = now;
	if (capacity->prior_weight <= 0)
		capacity->prior = log_time;
	else
		capacity->prior += (log_time - capacity->prior) *
		    (1 - pow(1 - PRIOR_GAIN, count));
	capacity->prior_weight = PRIOR_WEIGHT;
	capacity->measured_at = now;
}

void
capacity_note_mean(capacity_mean_t *mean, double log_time, double count)
{
	if (count <= 0 || !isfinite(log_time))
		return;
	mean->samples = MIN(mean->samples + count, MEAN_SAMPLES_MAX);
	mean->log_time +=
	    (log_time - mean->log_time) * MIN(count / mean->samples, 1.0);
}

/* Compares a time with what is known with and without the upstream's
 * statement. */
static void
note_distrust(capacity_t *capacity, double log_time, dff_time_t now)
{
	double pace = log(said_pace(capacity, now));
	double excess;

	if (capacity->weight <= 0)
		return;
	excess = fabs(log_time - pace - capacity->recent) -
	    fabs(log_time - capacity->recent);
	capacity->distrust += (excess - capacity->distrust) * DISTRUST_GAIN;
}

static void
note_for_report(capacity_report_t *report, double log_time, double count)
{
	report->sum += log_time * count;
	report->count += count;
}

static void
note_spread(const capacity_t *capacity, capacity_mean_t *mean, dff_time_t now)
{
	double difference = log(capacity_mean_factor(capacity, mean, now));

	mean->spread += (difference * difference - mean->spread) * SPREAD_GAIN;
}

bool
capacity_is_uneven(const capacity_mean_t *mean)
{
	return mean->paced || mean->spread > SPREAD_MIN;
}

void
capacity_add_own(capacity_t *capacity, capacity_mean_t *mean, double time,
    double count, dff_time_t now)
{
	double log_time = log(MAX(time, TIME_MIN));

	note_distrust(capacity, log_time, now);
	log_time -= log(capacity_pace(capacity, now));
	if (mean->samples > 0)
		log_time = CLAMP(log_time, mean->log_time - LOG_MAX,
		    mean->log_time + LOG_MAX);
	capacity_note_mean(mean, log_time, count);
	capacity_add(capacity, log_time, count, now);
	note_spread(capacity, mean, now);
	note_for_report(&capacity->own, log_time, count);
	note_for_report(&capacity->domain, log_time, count);
}

double
capacity_mean_factor(
    const capacity_t *capacity, const capacity_mean_t *mean, dff_time_t now)
{
	double recent =
	    capacity->weight * fade(now - capacity->weighed_at, RECENT_TIME);
	double prior = capacity->prior_weight *
	    fade(now - capacity->measured_at, PRIOR_TIME);
	double log_factor;

	if (mean == NULL || mean->samples <= 0)
		return 1;
	log_factor = (recent * (capacity->recent - mean->log_time) +
			 prior * (capacity->prior - mean->log_time)) /
	    (recent + prior + MEAN_WEIGHT);
	return exp(CLAMP(log_factor, -LOG_MAX, LOG_MAX));
}

double
capacity_factor(
    const capacity_t *capacity, const capacity_mean_t *mean, dff_time_t now)
{
	return capacity_mean_factor(capacity, mean, now) *
	    capacity_pace(capacity, now);
}

void
capacity_note_in_flight(capacity_t *capacity, const capacity_mean_t *mean,
    double time, uint32_t in_flight, uint32_t slots, dff_time_t now)
{
	double usual;
	double well = capacity_takes_well(capacity, slots);

	if (mean->samples <= 0 || slots == 0 || in_flight > slots ||
	    DFF_FAULT(RELAY_LOAD_UNLEARNED))
		return;
	usual = mean->log_time + log(capacity_factor(capacity, mean, now));
	if (log(MAX(time, TIME_MIN)) - usual <= GROWN_LOG) {
		if (in_flight + 1 > well)
			well += WELL_RISE;
	} else if (in_flight >= 2 && in_flight <= well + 1)
		well -= WELL_FALL;
	capacity->takes_well = CLAMP(well, 1, slots);
}

double
capacity_takes_well(const capacity_t *capacity, uint32_t slots)
{
	if (capacity->takes_well <= 0)
		return slots;
	return MIN(capacity->takes_well, (double)slots);
}

bool
capacity_is_doubtful(
    const capacity_t *capacity, const capacity_mean_t *mean, dff_time_t now)
{
	return capacity_mean_factor(capacity, mean, now) > DOUBT_FACTOR &&
	    now - capacity->measured_at > DOUBT_TIME &&
	    !DFF_FAULT(RELAY_NEVER_EXPLORES);
}
