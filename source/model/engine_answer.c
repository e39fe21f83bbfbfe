/*
 * Answers of the engine model. They depend on model and prompt only, so that a
 * test can check that an answer is complete without asking the engine.
 */
#include <math.h>
#include <string.h>

#include "dragonflyfall/model_engine.h"

/* Salts that separate the hashes for lengths from those for texts. */
#define LENGTH_SALT 0x6c656e67746800ULL
#define TOKEN_SALT  0x746f6b656e0000ULL

static const char *const words[] = {"crate", "tank", "hold", "ship", "grade",
    "firm", "soft", "cold", "dock", "note", "clear", "weak", "core", "shell",
    "ledger", "quote", "price", "scale", "yard", "truck", "pound", "fresh",
    "good", "fair", "poor", "keep", "send", "wait", "check", "count", "mark",
    "done"};

uint64_t
dff_model_prompt_hash(const char *model, const char *prompt, size_t len)
{
	return dff_hash(prompt, len, dff_hash(model, strlen(model), 0));
}

uint32_t
dff_model_prompt_tokens(size_t len)
{
	return (
	    uint32_t)((len + DFF_BYTES_PER_TOKEN - 1) / DFF_BYTES_PER_TOKEN);
}

size_t
dff_model_prefix(
    const char *prompt, size_t len, uint64_t hashes[DFF_PREFIX_BLOCKS_MAX])
{
	uint64_t hash = 0;
	size_t count = 0;

	while (count < DFF_PREFIX_BLOCKS_MAX && len >= DFF_PREFIX_BLOCK_BYTES) {
		hash = dff_hash(prompt, DFF_PREFIX_BLOCK_BYTES, hash);
		hashes[count++] = hash;
		prompt += DFF_PREFIX_BLOCK_BYTES;
		len -= DFF_PREFIX_BLOCK_BYTES;
	}
	return count;
}

uint32_t
dff_model_answer_tokens(uint64_t prompt_hash, uint32_t mean)
{
	double unit;

	if (mean == 0)
		return UINT32_MAX;
	prompt_hash = dff_hash(&prompt_hash, sizeof(prompt_hash), LENGTH_SALT);
	unit = (double)(prompt_hash >> 11) / (double)(1ULL << 53);
	/* Exponential, so that the mean hardly predicts a single answer. */
	return 1 + (uint32_t)(-log(1.0 - unit) * (mean - 1));
}

size_t
dff_model_token(
    uint64_t prompt_hash, uint32_t index, char text[DFF_TOKEN_TEXT_MAX])
{
	uint64_t hash;
	const char *word;
	size_t len;

	hash = dff_hash(&index, sizeof(index), prompt_hash ^ TOKEN_SALT);
	word = words[hash % G_N_ELEMENTS(words)];
	len = strlen(word);
	memcpy(text, word, len);
	/* Two random letters, so that mixed-up answers rarely look alike. */
	text[len++] = (char)('a' + (hash >> 8) % 26);
	text[len++] = (char)('a' + (hash >> 16) % 26);
	text[len++] = ' ';
	text[len] = '\0';
	return len;
}
