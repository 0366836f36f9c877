#include "tls.h"

#include <event2/bufferevent_ssl.h>
#include <event2/http.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <talloc.h>

#include "base.h"

struct tls
{
  SSL_CTX *context;
  char *certificate_file;
  char *key_file;
};

static int
free_tls (tls_t *tls)
{
  SSL_CTX_free (tls->context);
  return 0;
}

static const char *
pop_error_text (void)
{
  const char *reason = ERR_reason_error_string (ERR_peek_last_error ());

  ERR_clear_error ();
  return reason != NULL ? reason : "unknown error";
}

static SSL_CTX *
new_context (const SSL_METHOD *method)
{
  SSL_CTX *context = SSL_CTX_new (method);

  if (context == NULL)
    die ("cannot set up TLS: %s", pop_error_text ());
  SSL_CTX_set_min_proto_version (context, TLS1_2_VERSION);
  /* A peer may close without a TLS close alert. That is not a truncation,
   * because HTTP messages carry their length. */
  SSL_CTX_set_options (context, SSL_OP_IGNORE_UNEXPECTED_EOF);
  return context;
}

static SSL_CTX *
load_server_context (const char *certificate_file, const char *key_file)
{
  SSL_CTX *context = new_context (TLS_server_method ());

  if (SSL_CTX_use_certificate_chain_file (context, certificate_file) != 1)
    print_error ("cannot use certificate '%s': %s", certificate_file,
                 pop_error_text ());
  else if (SSL_CTX_use_PrivateKey_file (context, key_file, SSL_FILETYPE_PEM)
           != 1)
    print_error ("cannot use key '%s': %s", key_file, pop_error_text ());
  else if (SSL_CTX_check_private_key (context) != 1)
    print_error ("key '%s' does not belong to certificate '%s'", key_file,
                 certificate_file);
  else
    return context;
  SSL_CTX_free (context);
  return NULL;
}

tls_t *
tls_server_new (void *parent,
                const char *certificate_file,
                const char *key_file)
{
  SSL_CTX *context = load_server_context (certificate_file, key_file);
  tls_t *tls;

  if (context == NULL)
    return NULL;
  tls = talloc_zero (parent, tls_t);
  tls->context = context;
  tls->certificate_file = talloc_strdup (tls, certificate_file);
  tls->key_file = talloc_strdup (tls, key_file);
  talloc_set_destructor (tls, free_tls);
  return tls;
}

bool
tls_server_reload (tls_t *tls)
{
  SSL_CTX *context = load_server_context (tls->certificate_file, tls->key_file);

  if (context == NULL)
    return false;
  /* Each open connection holds its own reference to the old context. */
  SSL_CTX_free (tls->context);
  tls->context = context;
  return true;
}

struct bufferevent *
tls_server_bufferevent (tls_t *tls, struct event_base *base)
{
  SSL *ssl = SSL_new (tls->context);

  return bufferevent_openssl_socket_new (
      base, -1, ssl, BUFFEREVENT_SSL_ACCEPTING, BEV_OPT_CLOSE_ON_FREE);
}

tls_t *
tls_client_new (void *parent, const char *trust_file)
{
  SSL_CTX *context = new_context (TLS_client_method ());
  tls_t *tls;

  if (SSL_CTX_load_verify_locations (context, trust_file, NULL) != 1)
    {
      print_error ("cannot use trusted certificates '%s': %s", trust_file,
                   pop_error_text ());
      SSL_CTX_free (context);
      return NULL;
    }
  SSL_CTX_set_verify (context, SSL_VERIFY_PEER, NULL);
  tls = talloc_zero (parent, tls_t);
  tls->context = context;
  talloc_set_destructor (tls, free_tls);
  return tls;
}

struct bufferevent *
tls_client_bufferevent (tls_t *tls, struct event_base *base, const char *ip)
{
  SSL *ssl = SSL_new (tls->context);

  X509_VERIFY_PARAM_set1_ip_asc (SSL_get0_param (ssl), ip);
  return bufferevent_openssl_socket_new (
      base, -1, ssl, BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
}
