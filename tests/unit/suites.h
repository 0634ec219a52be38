#ifndef SUITES_H
#define SUITES_H

#include <check.h>

Suite *callerflow_suite(void);
Suite *document_suite(void);
Suite *keystore_suite(void);
Suite *node_suite(void);
Suite *net_suite(void);
Suite *packet_suite(void);
Suite *router_suite(void);
Suite *platform_suite(void);
Suite *settings_suite(void);
Suite *token_suite(void);
Suite *flow_suite(void);
Suite *limiter_suite(void);
Suite *agent_suite(void);
Suite *transfer_suite(void);
Suite *faults_suite(void);
Suite *explain_suite(void);
Suite *track_suite(void);
Suite *adapter_suite(void);
Suite *fetch_suite(void);
Suite *storeview_suite(void);

#endif
