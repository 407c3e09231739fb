package control

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/credentials"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	certificateMode = 0o644
	keyMode         = 0o600
	authorityName   = "authority"
	hoursPerDay     = 24
)

// tlsCommand holds the arguments of the tls commands, which read and write local
// files and call no entry.
type tlsCommand struct {
	program   *Program
	dir       string
	days      int
	vm        string
	addresses []net.IP
}

func addTLS(p *Program) {
	c := &tlsCommand{program: p}
	group := p.App.Command("tls", "Creates the certificates for mutual TLS between the fleet's processes, as local files.")
	group.Flag("dir", "Directory of the files.").Default(".").StringVar(&c.dir)
	group.Flag("days", "Validity of the new certificate in days.").Default("365").IntVar(&c.days)
	authority := group.Command("authority", "Creates a new certificate authority: authority.crt and authority.key.")
	p.Handle(authority, c.authority)
	issue := group.Command("issue", "Creates a certificate for a VM, signed by the authority: VM.crt and VM.key.")
	issue.Arg("vm", "Name of the VM.").Required().StringVar(&c.vm)
	issue.Arg("address", "IP addresses at which other processes call the VM.").Required().IPListVar(&c.addresses)
	p.Handle(issue, c.issue)
}

// pairFiles holds the names of the files of a certificate and its key.
type pairFiles struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (c *tlsCommand) authority(context.Context) error {
	pair, err := credentials.NewAuthority(time.Now(), c.validity())
	if err != nil {
		return err
	}
	return c.savePair(authorityName, pair)
}

func (c *tlsCommand) issue(context.Context) error {
	if !ident.ValidName(c.vm) || c.vm == authorityName {
		return errors.WithType(errors.Errorf("%q is not a valid VM name", c.vm), ErrInvalid)
	}
	authority, err := c.loadPair(authorityName)
	if err != nil {
		return err
	}
	vm := credentials.VM{Name: ident.VM(c.vm), Addresses: c.addresses}
	pair, err := credentials.Issue(authority, vm, time.Now(), c.validity())
	if err != nil {
		return errors.WithType(err, ErrInvalid)
	}
	return c.savePair(c.vm, pair)
}

func (c *tlsCommand) validity() time.Duration {
	return time.Duration(c.days) * hoursPerDay * time.Hour
}

func (c *tlsCommand) files(name string) pairFiles {
	return pairFiles{
		Certificate: filepath.Join(c.dir, name+".crt"),
		Key:         filepath.Join(c.dir, name+".key"),
	}
}

func (c *tlsCommand) loadPair(name string) (credentials.Pair, error) {
	files := c.files(name)
	certificate, err := os.ReadFile(files.Certificate)
	if err != nil {
		return credentials.Pair{}, errors.WithType(err, ErrInvalid)
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return credentials.Pair{}, errors.WithType(err, ErrInvalid)
	}
	return credentials.Pair{Certificate: certificate, Key: key}, nil
}

// savePair writes the files of a pair. It returns ErrInvalid if the key file exists,
// and never replaces a key.
func (c *tlsCommand) savePair(name string, pair credentials.Pair) error {
	files := c.files(name)
	if err := createFile(files.Key, pair.Key, keyMode); err != nil {
		return err
	}
	if err := os.WriteFile(files.Certificate, pair.Certificate, certificateMode); err != nil {
		return errors.Trace(err)
	}
	return c.program.Print(files, Table{
		Heading: []string{"CERTIFICATE", "KEY"},
		Rows:    [][]string{{files.Certificate, files.Key}},
	})
}

// createFile creates a file. It returns ErrInvalid if the file exists or cannot be
// created.
func createFile(name string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.WithType(err, ErrInvalid)
	}
	_, err = f.Write(data)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Trace(err)
}
