#include "net/json_read.h"

bool
json_read_u64(const json_t *object, const char *name, uint64_t *value)
{
	const json_t *item = json_object_get(object, name);

	if (!json_is_integer(item) || json_integer_value(item) < 0)
		return false;
	*value = (uint64_t)json_integer_value(item);
	return true;
}

bool
json_read_u32(const json_t *object, const char *name, uint32_t *value)
{
	uint64_t number;

	if (!json_read_u64(object, name, &number) || number > UINT32_MAX)
		return false;
	*value = (uint32_t)number;
	return true;
}

uint64_t
json_get_u64(const json_t *object, const char *name)
{
	uint64_t value = 0;

	(void)json_read_u64(object, name, &value);
	return value;
}

uint32_t
json_get_u32(const json_t *object, const char *name)
{
	uint32_t value = 0;

	(void)json_read_u32(object, name, &value);
	return value;
}

double
json_get_real(const json_t *object, const char *name)
{
	double number = json_number_value(json_object_get(object, name));

	return number > 0 ? number : 0;
}

const char *
json_get_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text != NULL ? text : "";
}

bool
json_get_flag(const json_t *object, const char *name)
{
	return json_is_true(json_object_get(object, name));
}
