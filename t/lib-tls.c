#include "lib-tls.h"

#include <glib.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>
#include <stdio.h>

#define DAY_S 86400

static void
add_extension (X509 *certificate, int nid, const char *value)
{
  X509_EXTENSION *extension = X509V3_EXT_conf_nid (NULL, NULL, nid, value);

  g_assert_nonnull (extension);
  X509_add_ext (certificate, extension, -1);
  X509_EXTENSION_free (extension);
}

void
tls_make_certificate (const char *ip,
                      long serial,
                      const char *certificate_file,
                      const char *key_file)
{
  EVP_PKEY *key = EVP_EC_gen ("P-256");
  X509 *certificate = X509_new ();
  char *alternative = g_strdup_printf ("IP:%s", ip);
  FILE *out;

  X509_set_version (certificate, 2);
  ASN1_INTEGER_set (X509_get_serialNumber (certificate), serial);
  X509_gmtime_adj (X509_getm_notBefore (certificate), -DAY_S);
  X509_gmtime_adj (X509_getm_notAfter (certificate), DAY_S);
  X509_NAME_add_entry_by_txt (X509_get_subject_name (certificate), "CN",
                              MBSTRING_ASC, (const unsigned char *)"test", -1,
                              -1, 0);
  X509_set_issuer_name (certificate, X509_get_subject_name (certificate));
  X509_set_pubkey (certificate, key);
  add_extension (certificate, NID_basic_constraints, "CA:TRUE");
  add_extension (certificate, NID_subject_alt_name, alternative);
  g_assert_cmpint (X509_sign (certificate, key, EVP_sha256 ()), >, 0);
  out = fopen (certificate_file, "w");
  PEM_write_X509 (out, certificate);
  fclose (out);
  out = fopen (key_file, "w");
  PEM_write_PrivateKey (out, key, NULL, NULL, 0, NULL, NULL);
  fclose (out);
  X509_free (certificate);
  EVP_PKEY_free (key);
  g_free (alternative);
}

long
tls_get_server_serial (const char *address)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  BIO *connection = BIO_new_ssl_connect (context);
  X509 *certificate = NULL;
  long serial = -1;
  SSL *ssl = NULL;

  BIO_get_ssl (connection, &ssl);
  BIO_set_conn_hostname (connection, address);
  if (BIO_do_handshake (connection) == 1)
    certificate = SSL_get1_peer_certificate (ssl);
  if (certificate != NULL)
    serial = ASN1_INTEGER_get (X509_get0_serialNumber (certificate));
  X509_free (certificate);
  BIO_free_all (connection);
  SSL_CTX_free (context);
  return serial;
}
