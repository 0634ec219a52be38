#ifndef SUITES_H
#define SUITES_H

#include <check.h>

Suite *callerflow_suite(void);
Suite *document_suite(void);
Suite *keystore_suite(void);
Suite *packet_suite(void);
Suite *router_suite(void);
Suite *settings_suite(void);
Suite *token_suite(void);

#endif
