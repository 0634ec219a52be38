#include <xxhash.h>

#include "document.h"

/**
 * plug_domain_hash() - identify a failure domain by its name
 * @name: name
 *
 * Return: XXH32 of the name, the same in every process.
 */
uint32_t
plug_domain_hash(struct plug_str name)
{
	return XXH32(name.data, name.len, 0);
}

/**
 * plug_document_domain_out() - whether a domain was taken out
 * @document: document
 * @domain: hash of the domain's name
 */
bool
plug_document_domain_out(const struct plug_document *document, uint32_t domain)
{
	for (unsigned int i = 0; i < document->domain_out_count; i++) {
		if (document->domains_out[i] == domain)
			return true;
	}
	return false;
}

/**
 * plug_document_operation() - find an operation by its procedure number
 * @document: document
 * @procedure: RPC procedure number
 *
 * Return: the operation, or NULL when the document doesn't declare it.
 */
const struct plug_operation *
plug_document_operation(
    const struct plug_document *document, uint32_t procedure)
{
	for (unsigned int i = 0; i < document->operation_count; i++) {
		if (document->operations[i].procedure == procedure)
			return &document->operations[i];
	}
	return NULL;
}
